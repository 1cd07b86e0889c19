#include <gtest/gtest.h>

#include "wire/http_parser.h"
#include "wire/job_codec.h"
#include "wire/peer_codec.h"
#include "wire/worker_codec.h"

namespace deckhall {
namespace {

using Result = HttpParser::Result;

HttpParser Requests() { return {HttpParser::Kind::kRequest, 1024, 256}; }

TEST(HttpParser, TakesInputSplitAtEveryByte) {
  const std::string texts[] = {"POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
                               "POST /a?b=c HTTP/1.1\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: "
                               "v\r\n\r\n"};
  for (const std::string& text : texts) {
    for (size_t cut = 0; cut <= text.size(); ++cut) {
      HttpParser p = Requests();
      Result r = p.Feed(text.substr(0, cut));
      if (cut < text.size()) {
        ASSERT_EQ(r, Result::kMore) << cut;
        r = p.Feed(text.substr(cut));
      }
      ASSERT_EQ(r, Result::kDone) << cut;
      const HttpMessage m = p.Take();
      EXPECT_EQ(m.method, "POST");
      EXPECT_EQ(m.target, "/a?b=c");
      EXPECT_EQ(m.body, "hello");
      EXPECT_FALSE(p.InMessage());
    }
    HttpParser p = Requests();
    Result r = Result::kMore;
    for (char c : text) r = p.Feed(std::string(1, c));
    EXPECT_EQ(r, Result::kDone);
  }
}

TEST(HttpParser, KeepsWhatFollowsForTheNextMessage) {
  HttpParser p = Requests();
  ASSERT_EQ(p.Feed("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.0\r\n\r\n"), Result::kDone);
  EXPECT_EQ(p.Take().target, "/a");
  ASSERT_EQ(p.Resume(), Result::kDone);
  const HttpMessage m = p.Take();
  EXPECT_EQ(m.target, "/b");
  EXPECT_FALSE(m.keep_alive);
}

TEST(HttpParser, RefusesBrokenRequests) {
  const std::pair<std::string, int> cases[] = {
      {"GARBAGE\r\n\r\n", 400},
      {"GET a HTTP/1.1\r\n\r\n", 400},
      {"GET / HTTP/2.0\r\n\r\n", 505},
      {"GET / HTTP/1.1\r\nNo colon\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\n: x\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\nA : x\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc", 400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n", 413},
      {"POST / HTTP/1.1\r\nContent-Length: 257\r\n\r\n", 413},
      {"GET /" + std::string(2000, 'a'), 431},
      {"GET / HTTP/1.1\r\nA: " + std::string(2000, 'a') + "\r\n\r\n", 431},
  };
  for (const auto& [text, status] : cases) {
    HttpParser p = Requests();
    EXPECT_EQ(p.Feed(text), Result::kError) << text.substr(0, 60);
    EXPECT_EQ(p.error_status(), status) << text.substr(0, 60);
  }
}

TEST(HttpParser, ReadsResponses) {
  HttpParser p(HttpParser::Kind::kResponse, 1024, 256);
  ASSERT_EQ(p.Feed("HTTP/1.1 503 Nope\r\nContent-Length: 2\r\nRetry-After: 7\r\n\r\n{}"),
            Result::kDone);
  const HttpMessage m = p.Take();
  EXPECT_EQ(m.status, 503);
  EXPECT_EQ(m.retry_after_s, 7);
  HttpParser q(HttpParser::Kind::kResponse, 1024, 256);
  EXPECT_EQ(q.Feed("HTTP/1.1 200 OK\r\n\r\n"), Result::kError);
}

const char* const kJob =
    R"({"name_id":"job-000412","clase":"train","cuadrilla":"vision","forma":"sweep",
"rango":"urgent","faenas":16,"cores":8.0,"gpus":1.0,"memory_gb":64.0,"carga":"img-07",
"image_gb":6.2,"cascos":["g8"],"muelle":null,"one_zone":true,"apart":false,"prestados":true,
"rumbo_s":240.0,"bitacora_s":30.0,"estiba_s":4.0,"arribo_s":900.0,"other":{"x":1}})";

TEST(JobCodec, ReadsAndWritesAJob) {
  const JobSubmission submission = ParseJob(kJob);
  ASSERT_TRUE(submission.spec.has_value()) << DescribeError(submission.spec.error());
  EXPECT_EQ(submission.job_id, "job-000412");
  const JobSpec& job = submission.spec.value();
  EXPECT_EQ(job.task_count, 16U);
  EXPECT_EQ(job.priority, Priority::kUrgent);
  EXPECT_TRUE(job.zone.empty());
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  WriteJob(w, job);
  const JobSubmission written = ParseJob(buffer.GetString());
  ASSERT_TRUE(written.spec.has_value()) << DescribeError(written.spec.error());
  const JobSpec& again = written.spec.value();
  EXPECT_EQ(again.allowed_types, job.allowed_types);
  EXPECT_EQ(again.deadline_s, job.deadline_s);
  EXPECT_EQ(again.checkpoint_interval_s, 30);
}

TEST(JobCodec, RefusesWhatIsNoJob) {
  const std::pair<const char*, const char*> swaps[] = {{"\"job-000412\"", "\"task-1\""},
                                                       {"\"job-000412\"", "7"},
                                                       {"\"sweep\"", "\"dance\""},
                                                       {"\"urgent\"", "null"},
                                                       {"\"faenas\":16", "\"faenas\":0"},
                                                       {"\"faenas\":16", "\"faenas\":-1"},
                                                       {"\"faenas\":16", "\"faenas\":1.5"},
                                                       {"\"faenas\":16", "\"faenas\":100001"},
                                                       {"\"cores\":8.0", "\"cores\":-8"},
                                                       {"\"cores\":8.0", "\"cores\":1e300"},
                                                       {"\"cores\":8.0", "\"cores\":\"8\""},
                                                       {"\"memory_gb\":64.0,", ""},
                                                       {"\"carga\":\"img-07\"", "\"carga\":\"\""},
                                                       {"[\"g8\"]", "[8]"},
                                                       {"[\"g8\"]", "\"g8\""},
                                                       {"\"one_zone\":true", "\"one_zone\":1"},
                                                       {"\"rumbo_s\":240.0", "\"rumbo_s\":null"},
                                                       {"900.0", "-1"}};
  for (const auto& [from, to] : swaps) {
    std::string text = kJob;
    text.replace(text.find(from), std::string(from).size(), to);
    const JobSubmission submission = ParseJob(text);
    ASSERT_FALSE(submission.spec.has_value()) << to;
    EXPECT_NE(DescribeError(submission.spec.error()), "") << to;
  }
  for (const std::string& text :
       {std::string(""), std::string("[]"), std::string("{"), std::string("\xff\xfe"),
        std::string(60000, '['), std::string("null")}) {
    const JobSubmission submission = ParseJob(text);
    ASSERT_FALSE(submission.spec.has_value());
    EXPECT_NE(DescribeError(submission.spec.error()), "");
    EXPECT_EQ(submission.job_id, "");
  }
}

TEST(WorkerCodec, ReadsReportsAndRefusesMalformedOnes) {
  const std::string text =
      R"({"cubierta":"m-1","endpoint":"10.1.0.2:9000","casco":"g8","muelle":"a","prestados":true,
"guardia":1,"correlativo":88,"mando":18446744073709551615,"aviso_s":null,
"faenas":[{"faena":"job-1/3","intento":2,"estado":"ended","motivo":"done"}]})";
  const auto r = DecodeHeartbeat(text);
  ASSERT_TRUE(r.has_value());
  EXPECT_EQ(r->fencing_token, UINT64_MAX);
  EXPECT_EQ(r->tasks[0].exit_reason, ExitReason::kDone);
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {"\"m-1\"", "1"}, {"88", "-88"}, {"\"ended\"", "\"sleeping\""}, {"[{", "{"}}) {
    std::string bad = text;
    bad.replace(bad.find(from), from.size(), to);
    EXPECT_FALSE(DecodeHeartbeat(bad).has_value()) << to;
  }
}

TEST(MeshCodec, CarriesFramesAndRefusesNoise) {
  PeerFrame frame;
  frame.id = 7;
  frame.target = "n1";
  JobRequest ask;
  ask.operation = JobOperation::kSubmit;
  ask.job_id = "job-000412";
  const JobSubmission submission = ParseJob(kJob);
  ASSERT_TRUE(submission.spec.has_value()) << DescribeError(submission.spec.error());
  ask.job = submission.spec.value();
  frame.body = ask;
  std::string bytes;
  EncodeFrame(frame, &bytes);
  const auto out = DecodeFrame(std::string_view(bytes).substr(4));
  ASSERT_TRUE(out.has_value());
  EXPECT_EQ(std::get<JobRequest>(out->body).job.allowed_types, ask.job.allowed_types);
  EXPECT_FALSE(DecodeFrame("").has_value());
  EXPECT_FALSE(DecodeFrame("1234567").has_value());
  for (size_t i = 0; i + 4 < bytes.size(); ++i) {
    std::string noise = bytes.substr(4);
    noise[i] = static_cast<char>(noise[i] ^ 0xff);
    (void)DecodeFrame(noise);  // must not crash
  }
}

// What a worker writes is read as it was, and so is what it is told.
TEST(Wire, AWorkersSideReadsAndWritesTheSameMessages) {
  Heartbeat report;
  report.machine = "m-1";
  report.endpoint = "10.0.0.1:9";
  report.type = "box";
  report.zone = "east";
  report.agent_epoch = 2;
  report.sequence = 3;
  report.fencing_token = 4;
  report.preemption_notice_s = 5;
  report.tasks = {{"job-1/0", 6, TaskState::kWaitingForGang, ExitReason::kNone, false},
                  {"job-1/1", 7, TaskState::kExited, ExitReason::kGangIncomplete, true}};
  const auto back = DecodeHeartbeat(EncodeHeartbeat(report));
  ASSERT_TRUE(back.has_value());
  EXPECT_EQ(EncodeHeartbeat(*back), EncodeHeartbeat(report));
  EXPECT_EQ(back->tasks[1].exit_reason, ExitReason::kGangIncomplete);
  const auto orders = DecodeCommands(EncodeCommands(
      8, 9, {{CommandOp::kStop, "job-1/0", 6, 2.5}, {CommandOp::kAcknowledgeExit, "j/1", 7}}));
  ASSERT_TRUE(orders.has_value());
  EXPECT_EQ(orders->fencing_token, 8U);
  EXPECT_EQ(orders->agent_epoch, 9U);
  ASSERT_EQ(orders->commands.size(), 2U);
  EXPECT_EQ(orders->commands[0].grace_period_s, 2.5);
  EXPECT_EQ(orders->commands[1].operation, CommandOp::kAcknowledgeExit);
  EXPECT_FALSE(DecodeCommands("{}").has_value());
}

}  // namespace
}  // namespace deckhall
