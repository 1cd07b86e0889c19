#include <gtest/gtest.h>

#include "wire/http_parser.h"
#include "wire/job_codec.h"
#include "wire/peer_codec.h"
#include "wire/worker_codec.h"

namespace deckhall {
namespace {

using Result = HttpParser::Result;

HttpParser RequestParser() { return {HttpParser::Kind::kRequest, 1024, 256}; }

TEST(HttpParser, InputSplitAtAnyByteIsParsed) {
  const std::string texts[] = {"POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
                               "POST /a?b=c HTTP/1.1\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: "
                               "v\r\n\r\n"};
  for (const std::string& text : texts) {
    for (size_t split_at = 0; split_at <= text.size(); ++split_at) {
      HttpParser parser = RequestParser();
      Result result = parser.Feed(text.substr(0, split_at));
      if (split_at < text.size()) {
        ASSERT_EQ(result, Result::kMore) << split_at;
        result = parser.Feed(text.substr(split_at));
      }
      ASSERT_EQ(result, Result::kDone) << split_at;
      const HttpMessage message = parser.Take();
      EXPECT_EQ(message.method, "POST");
      EXPECT_EQ(message.target, "/a?b=c");
      EXPECT_EQ(message.body, "hello");
      EXPECT_FALSE(parser.InMessage());
    }
    HttpParser parser = RequestParser();
    Result result = Result::kMore;
    for (char c : text) result = parser.Feed(std::string(1, c));
    EXPECT_EQ(result, Result::kDone);
  }
}

TEST(HttpParser, RemainingInputIsKeptForNextMessage) {
  HttpParser parser = RequestParser();
  ASSERT_EQ(parser.Feed("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.0\r\n\r\n"), Result::kDone);
  EXPECT_EQ(parser.Take().target, "/a");
  ASSERT_EQ(parser.Resume(), Result::kDone);
  const HttpMessage message = parser.Take();
  EXPECT_EQ(message.target, "/b");
  EXPECT_FALSE(message.keep_alive);
}

TEST(HttpParser, MalformedRequestsAreRefused) {
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
    HttpParser parser = RequestParser();
    EXPECT_EQ(parser.Feed(text), Result::kError) << text.substr(0, 60);
    EXPECT_EQ(parser.error_status(), status) << text.substr(0, 60);
  }
}

TEST(HttpParser, ResponsesAreParsed) {
  HttpParser parser(HttpParser::Kind::kResponse, 1024, 256);
  ASSERT_EQ(parser.Feed("HTTP/1.1 503 Nope\r\nContent-Length: 2\r\nRetry-After: 7\r\n\r\n{}"),
            Result::kDone);
  const HttpMessage message = parser.Take();
  EXPECT_EQ(message.status, 503);
  EXPECT_EQ(message.retry_after_s, 7);
  HttpParser second_parser(HttpParser::Kind::kResponse, 1024, 256);
  EXPECT_EQ(second_parser.Feed("HTTP/1.1 200 OK\r\n\r\n"), Result::kError);
}

const char* const kJob =
    R"({"name_id":"job-000412","clase":"train","cuadrilla":"vision","forma":"sweep",
"rango":"urgent","faenas":16,"cores":8.0,"gpus":1.0,"memory_gb":64.0,"carga":"img-07",
"image_gb":6.2,"cascos":["g8"],"muelle":null,"one_zone":true,"apart":false,"prestados":true,
"rumbo_s":240.0,"bitacora_s":30.0,"estiba_s":4.0,"arribo_s":900.0,"other":{"x":1}})";

TEST(JobCodec, WrittenJobIsReadBack) {
  const JobSubmission submission = ParseJob(kJob);
  ASSERT_TRUE(submission.spec.has_value()) << DescribeError(submission.spec.error());
  EXPECT_EQ(submission.job_id, "job-000412");
  const JobSpec& job = submission.spec.value();
  EXPECT_EQ(job.task_count, 16U);
  EXPECT_EQ(job.priority, Priority::kUrgent);
  EXPECT_TRUE(job.zone.empty());
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  WriteJob(writer, job);
  const JobSubmission written = ParseJob(buffer.GetString());
  ASSERT_TRUE(written.spec.has_value()) << DescribeError(written.spec.error());
  const JobSpec& reread_job = written.spec.value();
  EXPECT_EQ(reread_job.allowed_types, job.allowed_types);
  EXPECT_EQ(reread_job.deadline_s, job.deadline_s);
  EXPECT_EQ(reread_job.checkpoint_interval_s, 30);
}

TEST(JobCodec, InvalidJobsAreRefused) {
  const std::pair<const char*, const char*> replacements[] = {
      {"\"job-000412\"", "\"task-1\""},
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
  for (const auto& [from, to] : replacements) {
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

TEST(WorkerCodec, HeartbeatsAreDecodedAndMalformedOnesRefused) {
  const std::string text =
      R"({"cubierta":"m-1","endpoint":"10.1.0.2:9000","casco":"g8","muelle":"a","prestados":true,
"guardia":1,"correlativo":88,"mando":18446744073709551615,"aviso_s":null,
"faenas":[{"faena":"job-1/3","intento":2,"estado":"ended","motivo":"done"}]})";
  const auto heartbeat = DecodeHeartbeat(text);
  ASSERT_TRUE(heartbeat.has_value());
  EXPECT_EQ(heartbeat->fencing_token, UINT64_MAX);
  EXPECT_EQ(heartbeat->tasks[0].exit_reason, ExitReason::kDone);
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {"\"m-1\"", "1"}, {"88", "-88"}, {"\"ended\"", "\"sleeping\""}, {"[{", "{"}}) {
    std::string bad = text;
    bad.replace(bad.find(from), from.size(), to);
    EXPECT_FALSE(DecodeHeartbeat(bad).has_value()) << to;
  }
}

TEST(PeerCodec, FramesAreReadBackAndCorruptedFramesRefused) {
  PeerFrame frame;
  frame.id = 7;
  frame.target = "n1";
  JobRequest request;
  request.operation = JobOperation::kSubmit;
  request.job_id = "job-000412";
  const JobSubmission submission = ParseJob(kJob);
  ASSERT_TRUE(submission.spec.has_value()) << DescribeError(submission.spec.error());
  request.job = submission.spec.value();
  frame.body = request;
  std::string bytes;
  EncodeFrame(frame, &bytes);
  const auto decoded = DecodeFrame(std::string_view(bytes).substr(4));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(std::get<JobRequest>(decoded->body).job.allowed_types, request.job.allowed_types);
  EXPECT_FALSE(DecodeFrame("").has_value());
  EXPECT_FALSE(DecodeFrame("1234567").has_value());
  for (size_t i = 0; i + 4 < bytes.size(); ++i) {
    std::string corrupted = bytes.substr(4);
    corrupted[i] = static_cast<char>(corrupted[i] ^ 0xff);
    (void)DecodeFrame(corrupted);  // must not crash
  }
}

// Heartbeats that a worker encodes, and commands sent to it, are decoded without loss.
TEST(WorkerCodec, EncodedMessagesOfWorkerAreReadBack) {
  Heartbeat heartbeat;
  heartbeat.machine = "m-1";
  heartbeat.endpoint = "10.0.0.1:9";
  heartbeat.type = "box";
  heartbeat.zone = "east";
  heartbeat.agent_epoch = 2;
  heartbeat.sequence = 3;
  heartbeat.fencing_token = 4;
  heartbeat.preemption_notice_s = 5;
  heartbeat.tasks = {{"job-1/0", 6, TaskState::kWaitingForGang, ExitReason::kNone, false},
                     {"job-1/1", 7, TaskState::kExited, ExitReason::kGangIncomplete, true}};
  const auto decoded_heartbeat = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  ASSERT_TRUE(decoded_heartbeat.has_value());
  EXPECT_EQ(EncodeHeartbeat(*decoded_heartbeat), EncodeHeartbeat(heartbeat));
  EXPECT_EQ(decoded_heartbeat->tasks[1].exit_reason, ExitReason::kGangIncomplete);
  const auto decoded_commands =
      DecodeCommands(EncodeCommands(8, 9,
                                    CommandBatch::Of({{CommandOp::kStop, "job-1/0", 6, 2.5},
                                                      {CommandOp::kAcknowledgeExit, "j/1", 7}})));
  ASSERT_TRUE(decoded_commands.has_value());
  EXPECT_EQ(decoded_commands->fencing_token, 8U);
  EXPECT_EQ(decoded_commands->agent_epoch, 9U);
  ASSERT_EQ(decoded_commands->commands.size(), 2U);
  EXPECT_EQ(decoded_commands->commands[0].grace_period_s, 2.5);
  EXPECT_EQ(decoded_commands->commands[1].operation, CommandOp::kAcknowledgeExit);
  EXPECT_FALSE(DecodeCommands("{}").has_value());
}

}  // namespace
}  // namespace deckhall
