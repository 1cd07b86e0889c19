// Golden encodings of all messages: encoded messages are compared with literal bytes, and literal
// bytes are decoded into the expected fields. Guards against unintended changes of the wire format,
// for example by renaming a type, a field or an enumerator.
#include <gtest/gtest.h>

#include "golden_support.h"
#include "wire/cloud_codec.h"
#include "wire/job_codec.h"
#include "wire/key_value_codec.h"
#include "wire/peer_codec.h"
#include "wire/worker_codec.h"

namespace deckhall {
namespace {

constexpr uint64_t kLargeNumber = 9007199254740993;  // not exactly representable as a double
constexpr size_t kLengthPrefixBytes = 4;             // the length precedes each frame

// A job with all optional fields set, none of them to its default.
JobSpec FullJob() {
  JobSpec job;
  job.id = "job-000412";
  job.job_class = "sums";
  job.team = "blue";
  job.priority = Priority::kUrgent;
  job.task_count = 4100;
  job.cores = 2.5;
  job.gpus = 1;
  job.memory_gb = 16.25;
  job.image = "registry/sums:1";
  job.image_gb = 3.75;
  job.allowed_types = std::vector<std::string>{"box", "big"};
  job.zone = "east";
  job.single_zone = true;
  job.anti_affinity = true;
  job.spot_tolerant = true;
  job.estimated_runtime_s = 120.5;
  job.checkpoint_interval_s = 60;
  job.checkpoint_grace_s = 5.25;
  job.deadline_s = 86400;
  return job;
}

constexpr const char* kFullJob =
    R"({"name_id":"job-000412","clase":"sums","cuadrilla":"blue","forma":"sweep",)"
    R"("rango":"urgent","faenas":4100,"cores":2.5,"gpus":1.0,"memory_gb":16.25,)"
    R"("carga":"registry/sums:1","image_gb":3.75,"cascos":["box","big"],"muelle":"east",)"
    R"("one_zone":true,"apart":true,"prestados":true,"rumbo_s":120.5,"bitacora_s":60.0,)"
    R"("estiba_s":5.25,"arribo_s":86400.0})";

JobSpec MinimalJob() {
  JobSpec job;
  job.id = "job-1";
  job.job_class = "sums";
  job.team = "blue";
  job.task_count = 1;
  job.image = "img";
  return job;
}

constexpr const char* kMinimalJob =
    R"({"name_id":"job-1","clase":"sums","cuadrilla":"blue","forma":"sweep","rango":"normal",)"
    R"("faenas":1,"cores":0.0,"memory_gb":0.0,"carga":"img","image_gb":0.0,"rumbo_s":0.0})";

std::string EncodedJob(const JobSpec& job) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  WriteJob(writer, job);
  return {buffer.GetString(), buffer.GetSize()};
}

// One task for each state, and for each exit reason.
std::vector<TaskStatus> TasksInAllStates() {
  return {
      {"job-000412/0", 1, TaskState::kFetching, ExitReason::kNone, false},
      {"job-000412/1", kLargeNumber, TaskState::kRunning, ExitReason::kNone, false},
      {"job-000412/2", 3, TaskState::kCheckpointing, ExitReason::kNone, false},
      {"job-000412/3", 4, TaskState::kWaitingForGang, ExitReason::kNone, false},
      {"job-000412/4", 5, TaskState::kExited, ExitReason::kDone, false},
      {"job-000412/5", 6, TaskState::kExited, ExitReason::kStopped, true},
      {"job-000412/6", 7, TaskState::kExited, ExitReason::kError, false},
      {"job-000412/7", 8, TaskState::kExited, ExitReason::kInsufficientCapacity, false},
      {"job-000412/8", 9, TaskState::kExited, ExitReason::kAttemptConflict, false},
      {"job-000412/9", 10, TaskState::kExited, ExitReason::kUnknownTask, false},
      {"job-000412/10", 11, TaskState::kExited, ExitReason::kGangMemberLost, false},
      {"job-000412/11", 12, TaskState::kExited, ExitReason::kGangIncomplete, false},
  };
}

Heartbeat FullHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.machine = "m-17";
  heartbeat.endpoint = "10.0.0.17:7000";
  heartbeat.type = "box";
  heartbeat.zone = "east";
  heartbeat.spot = true;
  heartbeat.agent_epoch = 3;
  heartbeat.sequence = kLargeNumber;
  heartbeat.fencing_token = 1690000000000;
  heartbeat.preemption_notice_s = 28.5;
  heartbeat.tasks = TasksInAllStates();
  return heartbeat;
}

constexpr const char* kFullHeartbeat =
    R"({"cubierta":"m-17","endpoint":"10.0.0.17:7000","casco":"box","muelle":"east",)"
    R"("prestados":true,"guardia":3,"correlativo":9007199254740993,"mando":1690000000000,)"
    R"("aviso_s":28.5,"faenas":[)"
    R"({"faena":"job-000412/0","intento":1,"estado":"pulling"},)"
    R"({"faena":"job-000412/1","intento":9007199254740993,"estado":"running"},)"
    R"({"faena":"job-000412/2","intento":3,"estado":"flushing"},)"
    R"({"faena":"job-000412/3","intento":4,"estado":"gathering"},)"
    R"({"faena":"job-000412/4","intento":5,"estado":"ended","motivo":"done","saved":false},)"
    R"({"faena":"job-000412/5","intento":6,"estado":"ended","motivo":"stopped","saved":true},)"
    R"({"faena":"job-000412/6","intento":7,"estado":"ended","motivo":"error","saved":false},)"
    R"({"faena":"job-000412/7","intento":8,"estado":"ended","motivo":"no_room","saved":false},)"
    R"({"faena":"job-000412/8","intento":9,"estado":"ended","motivo":"in_use","saved":false},)"
    R"({"faena":"job-000412/9","intento":10,"estado":"ended","motivo":"unknown","saved":false},)"
    R"({"faena":"job-000412/10","intento":11,"estado":"ended","motivo":"peers","saved":false},)"
    R"({"faena":"job-000412/11","intento":12,"estado":"ended","motivo":"incomplete",)"
    R"("saved":false}]})";

constexpr const char* kMinimalHeartbeat =
    R"({"cubierta":"m-1","endpoint":"","casco":"","muelle":"","prestados":false,"guardia":0,)"
    R"("correlativo":0,"mando":0,"faenas":[]})";

void ExpectSameTasks(const std::vector<TaskStatus>& decoded,
                     const std::vector<TaskStatus>& expected) {
  ASSERT_EQ(decoded.size(), expected.size());
  for (size_t i = 0; i < decoded.size(); ++i) {
    EXPECT_EQ(decoded[i].task_name, expected[i].task_name);
    EXPECT_EQ(decoded[i].attempt, expected[i].attempt) << expected[i].task_name;
    EXPECT_EQ(decoded[i].state, expected[i].state) << expected[i].task_name;
    EXPECT_EQ(decoded[i].exit_reason, expected[i].exit_reason) << expected[i].task_name;
    EXPECT_EQ(decoded[i].checkpointed, expected[i].checkpointed) << expected[i].task_name;
  }
}

void ExpectSameHeartbeat(const Heartbeat& decoded, const Heartbeat& expected) {
  EXPECT_EQ(decoded.machine, expected.machine);
  EXPECT_EQ(decoded.endpoint, expected.endpoint);
  EXPECT_EQ(decoded.type, expected.type);
  EXPECT_EQ(decoded.zone, expected.zone);
  EXPECT_EQ(decoded.spot, expected.spot);
  EXPECT_EQ(decoded.agent_epoch, expected.agent_epoch);
  EXPECT_EQ(decoded.sequence, expected.sequence);
  EXPECT_EQ(decoded.fencing_token, expected.fencing_token);
  EXPECT_EQ(decoded.preemption_notice_s, expected.preemption_notice_s);
  ExpectSameTasks(decoded.tasks, expected.tasks);
}

// One command for each operation; only a stop has a grace period.
std::vector<Command> CommandsOfAllKinds() {
  return {{CommandOp::kStart, "job-000412/3", kLargeNumber, 0},
          {CommandOp::kStop, "job-000412/4", 2, 7.5},
          {CommandOp::kAcknowledgeExit, "job-000412/5", 3, 0}};
}

constexpr const char* kCommandsOfAllKinds =
    R"("ordenes":[{"maniobra":"launch","faena":"job-000412/3","intento":9007199254740993},)"
    R"({"maniobra":"stop","faena":"job-000412/4","intento":2,"tregua_s":7.5},)"
    R"({"maniobra":"clear","faena":"job-000412/5","intento":3}]})";

void ExpectSameCommands(const std::vector<Command>& decoded, const std::vector<Command>& expected) {
  ASSERT_EQ(decoded.size(), expected.size());
  for (size_t i = 0; i < decoded.size(); ++i) {
    EXPECT_EQ(decoded[i].operation, expected[i].operation) << expected[i].task_name;
    EXPECT_EQ(decoded[i].task_name, expected[i].task_name);
    EXPECT_EQ(decoded[i].attempt, expected[i].attempt) << expected[i].task_name;
    EXPECT_EQ(decoded[i].grace_period_s, expected[i].grace_period_s) << expected[i].task_name;
  }
}

TEST(GoldenWorkerWire, FullHeartbeatEncodingIsStable) {
  EXPECT_EQ(EncodeHeartbeat(FullHeartbeat()), kFullHeartbeat);
}

TEST(GoldenWorkerWire, MinimalHeartbeatEncodingIsStable) {
  Heartbeat heartbeat;
  heartbeat.machine = "m-1";
  EXPECT_EQ(EncodeHeartbeat(heartbeat), kMinimalHeartbeat);
}

TEST(GoldenWorkerWire, ExitWithoutReasonIsEncodedAsError) {
  Heartbeat heartbeat;
  heartbeat.machine = "m-1";
  heartbeat.tasks = {{"job-1/0", 1, TaskState::kExited, ExitReason::kNone, false}};
  EXPECT_EQ(EncodeHeartbeat(heartbeat),
            R"({"cubierta":"m-1","endpoint":"","casco":"","muelle":"","prestados":false,)"
            R"("guardia":0,"correlativo":0,"mando":0,"faenas":[{"faena":"job-1/0","intento":1,)"
            R"("estado":"ended","motivo":"error","saved":false}]})");
}

TEST(GoldenWorkerWire, FullHeartbeatIsDecodedIntoAllFields) {
  const auto heartbeat = DecodeHeartbeat(kFullHeartbeat);
  ASSERT_TRUE(heartbeat.has_value());
  ExpectSameHeartbeat(*heartbeat, FullHeartbeat());
}

TEST(GoldenWorkerWire, MissingOptionalFieldsOfHeartbeatAreDecodedAsDefaults) {
  const auto heartbeat =
      DecodeHeartbeat(R"({"cubierta":"m-1","endpoint":"a:1","casco":"box","muelle":"west",)"
                      R"("guardia":1,"correlativo":2})");
  ASSERT_TRUE(heartbeat.has_value());
  Heartbeat expected;
  expected.machine = "m-1";
  expected.endpoint = "a:1";
  expected.type = "box";
  expected.zone = "west";
  expected.agent_epoch = 1;
  expected.sequence = 2;
  ExpectSameHeartbeat(*heartbeat, expected);
}

TEST(GoldenWorkerWire, UnknownExitReasonIsDecodedAsErrorAndUnknownStateIsRejected) {
  const std::string head =
      R"({"cubierta":"m-1","endpoint":"a:1","casco":"box","muelle":"west","guardia":1,)"
      R"("correlativo":2,"faenas":[{"faena":"job-1/0","intento":1,"estado":)";
  const auto heartbeat = DecodeHeartbeat(head + R"("ended","motivo":"tired"}]})");
  ASSERT_TRUE(heartbeat.has_value());
  ASSERT_EQ(heartbeat->tasks.size(), 1U);
  EXPECT_EQ(heartbeat->tasks[0].exit_reason, ExitReason::kError);
  EXPECT_FALSE(DecodeHeartbeat(head + R"("exited"}]})").has_value());
}

TEST(GoldenWorkerWire, HeartbeatResponseEncodingIsStable) {
  HeartbeatResponse response;
  response.status = 200;
  response.fencing_token = 1690000000000;
  EXPECT_EQ(EncodeHeartbeatResponse(response), R"({"mando":1690000000000,"ordenes":[]})");
  response.commands = CommandBatch::Of(CommandsOfAllKinds());
  EXPECT_EQ(EncodeHeartbeatResponse(response),
            std::string(R"({"mando":1690000000000,)") + kCommandsOfAllKinds);
  response.status = 421;
  response.redirect_to = "10.0.0.2:7001";
  EXPECT_EQ(EncodeHeartbeatResponse(response), R"({"capitan":"10.0.0.2:7001"})");
  EXPECT_EQ(EncodeHeartbeatResponse(HeartbeatResponse()), R"({"error":"no leader"})");
}

TEST(GoldenWorkerWire, CommandEncodingIsStable) {
  EXPECT_EQ(EncodeCommands(1690000000000, 3, CommandBatch::Of(CommandsOfAllKinds())),
            std::string(R"({"mando":1690000000000,"guardia":3,)") + kCommandsOfAllKinds);
  EXPECT_EQ(EncodeCommands(0, 0, {}), R"({"mando":0,"guardia":0,"ordenes":[]})");
}

TEST(GoldenWorkerWire, CommandsAreDecodedIntoAllFields) {
  const auto decoded =
      DecodeCommands(std::string(R"({"mando":1690000000000,"guardia":3,)") + kCommandsOfAllKinds);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->fencing_token, 1690000000000U);
  EXPECT_EQ(decoded->agent_epoch, 3U);
  ExpectSameCommands(decoded->commands, CommandsOfAllKinds());
  const auto minimal = DecodeCommands(R"({"mando":7})");
  ASSERT_TRUE(minimal.has_value());
  EXPECT_EQ(minimal->fencing_token, 7U);
  EXPECT_EQ(minimal->agent_epoch, 0U);
  EXPECT_TRUE(minimal->commands.empty());
}

TEST(GoldenJobWire, FullJobEncodingIsStable) { EXPECT_EQ(EncodedJob(FullJob()), kFullJob); }

TEST(GoldenJobWire, MinimalJobEncodingIsStable) {
  EXPECT_EQ(EncodedJob(MinimalJob()), kMinimalJob);
}

TEST(GoldenJobWire, FullJobIsDecodedIntoAllFields) {
  const JobSubmission submission = ParseJob(kFullJob);
  ASSERT_TRUE(submission.spec.has_value()) << DescribeError(submission.spec.error());
  EXPECT_EQ(submission.job_id, "job-000412");
  ExpectSameJob(submission.spec.value(), FullJob());
}

TEST(GoldenJobWire, MinimalJobIsDecodedWithDefaults) {
  rapidjson::Document document;
  ASSERT_TRUE(ParseJson(kMinimalJob, &document));
  const auto job = ReadJob(document);
  ASSERT_TRUE(job.has_value()) << DescribeError(job.error());
  ExpectSameJob(job.value(), MinimalJob());
}

// The minimal job with another value in a field.
std::string MinimalJobWith(const std::string& field, const std::string& old_value,
                           const std::string& new_value) {
  std::string text = kMinimalJob;
  const std::string old_text = "\"" + field + "\":\"" + old_value + "\"";
  text.replace(text.find(old_text), old_text.size(), "\"" + field + "\":\"" + new_value + "\"");
  return text;
}

void ExpectRoundTrip(const JobSpec& job, const std::string& text) {
  EXPECT_EQ(EncodedJob(job), text);
  const JobSubmission submission = ParseJob(text);
  ASSERT_TRUE(submission.spec.has_value()) << text;
  ExpectSameJob(submission.spec.value(), job);
}

TEST(GoldenJobWire, PriorityNamesAreStable) {
  const std::vector<std::pair<Priority, std::string>> encodings = {
      {Priority::kIdle, "idle"},
      {Priority::kNormal, "normal"},
      {Priority::kUrgent, "urgent"},
      {Priority::kProduction, "production"}};
  for (const auto& [priority, encoding] : encodings) {
    JobSpec job = MinimalJob();
    job.priority = priority;
    ExpectRoundTrip(job, MinimalJobWith("rango", "normal", encoding));
  }
}

TEST(GoldenJobWire, JobKindNamesAreStable) {
  JobSpec service = MinimalJob();
  service.service = true;
  ExpectRoundTrip(service, MinimalJobWith("forma", "sweep", "daemon"));
  JobSpec gang = MinimalJob();
  gang.gang = true;
  ExpectRoundTrip(gang, MinimalJobWith("forma", "sweep", "ensemble"));
}

// The validation error of a submission; empty if it is accepted.
std::string ParseError(const std::string& body) {
  const JobSubmission submission = ParseJob(body);
  return submission.spec.has_value() ? "" : DescribeError(submission.spec.error());
}

TEST(GoldenJobWire, ErrorsNameFieldsAsInUserApi) {
  EXPECT_EQ(ParseError("no"), "not JSON");
  EXPECT_EQ(ParseError("[]"), "not an object");
  EXPECT_EQ(ParseError("{}"), "missing or invalid: name_id");
  EXPECT_EQ(ParseError(MinimalJobWith("rango", "normal", "first")), "missing or invalid: rango");
  const std::string unknown_kind = MinimalJobWith("forma", "sweep", "array");
  EXPECT_EQ(ParseError(unknown_kind), "missing or invalid: forma");
  EXPECT_EQ(ParseJob(unknown_kind).job_id, "job-1");
}

TEST(GoldenJobWire, JobIdFormatIsValidated) {
  EXPECT_TRUE(ValidJobId("job-0"));
  EXPECT_TRUE(ValidJobId("job-01234567890123456789"));
  EXPECT_FALSE(ValidJobId("job-012345678901234567890"));
  EXPECT_FALSE(ValidJobId("job-"));
  EXPECT_FALSE(ValidJobId("job-1a"));
  EXPECT_FALSE(ValidJobId("Job-1"));
}

TEST(GoldenJobWire, JobStateNamesAreStable) {
  EXPECT_STREQ(JobStateWord(JobState::kPending), "pending");
  EXPECT_STREQ(JobStateWord(JobState::kRunning), "running");
  EXPECT_STREQ(JobStateWord(JobState::kDone), "done");
  EXPECT_STREQ(JobStateWord(JobState::kCancelled), "aborted");
}

TEST(GoldenJobWire, JobResponseEncodingIsStable) {
  JobRequest request;
  request.job_id = "job-000412";
  JobResponse response;
  response.status = 200;
  response.state = JobState::kRunning;
  response.tasks_done = 3;
  response.tasks_running = 7;
  EXPECT_EQ(EncodeJobResponse(request, response),
            R"({"name_id":"job-000412","estado":"running","done":3,"running":7})");
  request.operation = JobOperation::kCancel;
  response.state = JobState::kCancelled;
  EXPECT_EQ(EncodeJobResponse(request, response), R"({"name_id":"job-000412","estado":"aborted"})");
  request.operation = JobOperation::kSubmit;
  response.status = 201;
  response.state = JobState::kPending;
  EXPECT_EQ(EncodeJobResponse(request, response), R"({"name_id":"job-000412","estado":"pending"})");
  response.status = 404;
  response.error = "no \"such\" job";
  EXPECT_EQ(EncodeJobResponse(request, response), R"({"error":"no \"such\" job"})");
  EXPECT_EQ(EncodeError(""), R"({"error":""})");
}

constexpr const char* kTypes =
    R"({"cascos":[{"name":"big","cores":64,"gpus":4,"memory_gb":512.5,"cache_gb":200.5,)"
    R"("pull_gb_per_s":0.125,"hourly":9.75,"low_price":3.25,"startup_s":45.5,)"
    R"("muelles":["east","west"]},{"name":"box","cores":8,"memory_gb":64,"hourly":1.5}]})";

TEST(GoldenCloudWire, MachineTypesAreDecodedIntoAllFields) {
  const auto decoded = DecodeTypes(kTypes);
  ASSERT_TRUE(decoded.has_value());
  const std::vector<MachineType>& types = *decoded;
  ASSERT_EQ(types.size(), 2U);
  EXPECT_EQ(types[0].name, "big");
  EXPECT_EQ(types[0].cores, 64);
  EXPECT_EQ(types[0].gpus, 4);
  EXPECT_EQ(types[0].memory_gb, 512.5);
  EXPECT_EQ(types[0].cache_gb, 200.5);
  EXPECT_EQ(types[0].fetch_gb_per_s, 0.125);
  EXPECT_EQ(types[0].price, 9.75);
  EXPECT_EQ(types[0].spot_price, 3.25);
  EXPECT_EQ(types[0].boot_s, 45.5);
  EXPECT_EQ(types[0].zones, (std::vector<std::string>{"east", "west"}));
}

TEST(GoldenCloudWire, MinimalMachineTypeIsDecodedWithDefaults) {
  const auto decoded = DecodeTypes(kTypes);
  ASSERT_TRUE(decoded.has_value());
  const std::vector<MachineType>& types = *decoded;
  ASSERT_EQ(types.size(), 2U);
  EXPECT_EQ(types[1].name, "box");
  EXPECT_EQ(types[1].cores, 8);
  EXPECT_EQ(types[1].gpus, 0);
  EXPECT_EQ(types[1].memory_gb, 64);
  EXPECT_EQ(types[1].cache_gb, 0);
  EXPECT_EQ(types[1].fetch_gb_per_s, 0);
  EXPECT_EQ(types[1].price, 1.5);
  EXPECT_EQ(types[1].spot_price, 1.5);
  EXPECT_EQ(types[1].boot_s, 0);
  EXPECT_TRUE(types[1].zones.empty());
}

TEST(GoldenCloudWire, MachineListIsDecodedIntoAllFields) {
  const auto page = DecodeInstanceList(
      R"({"cubiertas":[{"name_id":"m-1","endpoint":"10.0.0.1:7000","casco":"box",)"
      R"("muelle":"east","prestados":true,"estado":"running","age_s":12.5},)"
      R"({"name_id":"m-2","estado":"failed"},{"name_id":"m-3","estado":"starting"}],)"
      R"("truncated":true})");
  ASSERT_TRUE(page.has_value());
  EXPECT_TRUE(page->truncated);
  const std::vector<CloudInstance>& machines = page->instances;
  ASSERT_EQ(machines.size(), 3U);
  EXPECT_EQ(machines[0].name, "m-1");
  EXPECT_EQ(machines[0].endpoint, "10.0.0.1:7000");
  EXPECT_EQ(machines[0].type, "box");
  EXPECT_EQ(machines[0].zone, "east");
  EXPECT_TRUE(machines[0].spot);
  EXPECT_EQ(machines[0].state, InstanceState::kRunning);
  EXPECT_EQ(machines[0].age_s, 12.5);
  EXPECT_EQ(machines[1].name, "m-2");
  EXPECT_EQ(machines[1].state, InstanceState::kFailed);
  EXPECT_FALSE(machines[1].spot);
  EXPECT_EQ(machines[1].age_s, 0);
  EXPECT_EQ(machines[2].state, InstanceState::kStarting);
}

TEST(GoldenCloudWire, EmptyMachineListIsDecoded) {
  const auto page = DecodeInstanceList(R"({"cubiertas":[]})");
  ASSERT_TRUE(page.has_value());
  EXPECT_FALSE(page->truncated);
  EXPECT_TRUE(page->instances.empty());
}

TEST(GoldenCloudWire, ScaleOutResponseIsDecoded) {
  const auto machines = DecodeScaleOutResponse(R"({"cubiertas":["m-1","m-2"]})");
  ASSERT_TRUE(machines.has_value());
  EXPECT_EQ(*machines, (std::vector<std::string>{"m-1", "m-2"}));
}

TEST(GoldenCloudWire, RequestEncodingIsStable) {
  EXPECT_EQ(EncodeScaleOut("r-102-1", "box", "east", true, 50),
            R"({"flete":"r-102-1","casco":"box","muelle":"east","prestados":true,"how_many":50})");
  EXPECT_EQ(EncodeScaleOut("", "", "", false, 0),
            R"({"flete":"","casco":"","muelle":"","prestados":false,"how_many":0})");
  EXPECT_EQ(EncodeScaleIn({"m-1", "m-2"}), R"({"cubiertas":["m-1","m-2"]})");
  EXPECT_EQ(EncodeScaleIn({}), R"({"cubiertas":[]})");
  EXPECT_EQ(InstanceListPath("m-2", 500), "/machines?from=m-2&page=500");
  EXPECT_EQ(InstanceListPath("", 1), "/machines?from=&page=1");
}

TEST(GoldenStateWire, FullTransactionEncodingIsStable) {
  Transaction txn;
  txn.preconditions = {{"deckhall/leader", kLargeNumber}, {"deckhall/pages/00000001", 0}};
  txn.mutations = {{"deckhall/pages/00000001", R"([{"s":"d","x":"job-1"}])", 0},
                   {"deckhall/leader", R"({"label":"n0"})", 12},
                   {"deckhall/pages/00000002", "", 0}};
  EXPECT_EQ(EncodeTransaction(txn),
            R"({"if":[{"key":"deckhall/leader","huella":9007199254740993},)"
            R"({"key":"deckhall/pages/00000001","huella":0}],"writes":[)"
            R"({"put":"deckhall/pages/00000001","data":[{"s":"d","x":"job-1"}]},)"
            R"({"put":"deckhall/leader","data":{"label":"n0"},"amarre":12},)"
            R"({"remove":"deckhall/pages/00000002"}]})");
}

TEST(GoldenStateWire, EmptyTransactionAndLeaseGrantEncodingsAreStable) {
  EXPECT_EQ(EncodeTransaction(Transaction()), R"({"if":[]})");
  EXPECT_EQ(EncodeLeaseGrant(2500), R"({"ttl_ms":2500})");
}

TEST(GoldenStateWire, KeyValueIsDecodedIntoAllFields) {
  const auto entry =
      DecodeKeyValue(R"({"key":"a/b","huella":9007199254740993,"data":[{"c":1.50}]})");
  ASSERT_TRUE(entry.has_value());
  EXPECT_EQ(entry->key, "a/b");
  EXPECT_EQ(entry->version, kLargeNumber);
  EXPECT_EQ(entry->value, R"([{"c":1.5}])");
}

TEST(GoldenStateWire, KeyValuePageIsDecodedIntoAllFields) {
  const auto page = DecodeKeyValues(
      R"({"rows":[{"key":"a","huella":1,"data":{}},{"key":"b","huella":2,"data":"x"}],)"
      R"("truncated":true,"marea":77})");
  ASSERT_TRUE(page.has_value());
  EXPECT_TRUE(page->truncated);
  EXPECT_EQ(page->revision, 77U);
  const std::vector<KeyValue>& entries = page->entries;
  ASSERT_EQ(entries.size(), 2U);
  EXPECT_EQ(entries[0].key, "a");
  EXPECT_EQ(entries[0].version, 1U);
  EXPECT_EQ(entries[0].value, "{}");
  EXPECT_EQ(entries[1].key, "b");
  EXPECT_EQ(entries[1].version, 2U);
  EXPECT_EQ(entries[1].value, "\"x\"");
}

TEST(GoldenStateWire, RevisionAndLeaseGrantAreDecoded) {
  EXPECT_EQ(DecodeRevision(R"({"marea":9007199254740993})"), kLargeNumber);
  EXPECT_EQ(DecodeLeaseGrant(R"({"amarre":12})"), 12U);
  EXPECT_FALSE(DecodeLeaseGrant(R"({"amarre":0})").has_value());
}

std::string ToHex(const std::string& bytes) {
  static const char* const kDigits = "0123456789abcdef";
  std::string hex;
  for (const char byte : bytes) {
    hex += kDigits[static_cast<unsigned char>(byte) >> 4];
    hex += kDigits[static_cast<unsigned char>(byte) & 15];
  }
  return hex;
}

std::string FromHex(const std::string& hex) {
  std::string bytes;
  for (size_t i = 0; i + 1 < hex.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  }
  return bytes;
}

std::string EncodedHex(const PeerFrame& frame) {
  std::string bytes;
  EncodeFrame(frame, &bytes);
  return ToHex(bytes);
}

// Decodes a frame from its literal bytes, which start with the length.
PeerFrame DecodedFrame(const std::string& hex) {
  const auto frame = DecodeFrame(FromHex(hex).substr(kLengthPrefixBytes));
  EXPECT_TRUE(frame.has_value());
  return frame.value_or(PeerFrame());
}

PeerFrame AddressedFrame() {
  PeerFrame frame;
  frame.id = 0x0102030405060708;
  frame.target = "n2";
  frame.hops = 3;
  return frame;
}

void ExpectAddressedFrame(const PeerFrame& frame) {
  EXPECT_EQ(frame.id, 0x0102030405060708U);
  EXPECT_EQ(frame.target, "n2");
  EXPECT_EQ(frame.hops, 3);
}

PeerPing FullPing() {
  PeerPing ping;
  ping.label = "n1";
  ping.instance = kLargeNumber;
  ping.lease_valid = true;
  ping.holds_leader_key = false;
  ping.term_confirmed = true;
  ping.term = 102;
  ping.leader = "n0";
  ping.reachable_peers = {"n0", "n2"};
  return ping;
}

JobRequest Submission() {
  JobRequest request;
  request.operation = JobOperation::kSubmit;
  request.job_id = "job-000412";
  request.job = FullJob();
  request.job.gang = true;
  return request;
}

JobRequest InvalidSubmission() {
  JobRequest request;
  request.operation = JobOperation::kSubmit;
  request.job_id = "job-7";
  request.validation_error = "missing or invalid: clase";
  return request;
}

JobResponse FullJobResponse() {
  JobResponse response;
  response.status = 409;
  response.state = JobState::kCancelled;
  response.tasks_done = 70000;
  response.tasks_running = 9;
  response.error = "another job has this id";
  response.retry_after_s = 5;
  return response;
}

HeartbeatResponse FullHeartbeatResponse() {
  HeartbeatResponse response;
  response.status = 421;
  response.fencing_token = 1690000000000;
  response.redirect_to = "10.0.0.2:7001";
  response.commands = CommandBatch::Of(CommandsOfAllKinds());
  return response;
}

// Encoded frames in hexadecimal, including the length prefix.

constexpr const char* kFrameWithoutBody =
    "3800000000000000060000000000000002000200080706050403020103000000"
    "00000000050000001a00000000000000000000006e32000000000000";

constexpr const char* kPingFrame =
    "9800000000000000120000000000000002000200080706050403020103000100"
    "00000000050000001a00000004000000030003006e3200000000000001000000"
    "0000200005000000000000006600000000000000090000001a00000009000000"
    "1a00000009000000160000006e310000000000006e3000000000000005000000"
    "1a000000050000001a0000006e300000000000006e32000000000000";

constexpr const char* kKeyHolderPingFrame =
    "78000000000000000e0000000000000002000200080706050403020103000100"
    "00000000050000001a00000004000000030003006e3200000000000000000000"
    "0000000002000000000000000000000000000000090000000a00000009000000"
    "0a000000090000000600000000000000000000000000000000000000";

constexpr const char* kSubmissionFrame =
    "4001000000000000270000000000000002000200080706050403020103000200"
    "00000000050000001a00000004000000010003006e3200000000000002000000"
    "00000000090000005a0000000d0000000a0000000c000000090006006a6f622d"
    "30303034313200000000000000000000000000003c0200000410000000000000"
    "00000440000000000000f03f00000000004030400000000000000e4000000000"
    "00205e400000000000004e400000000000001540000000000018f54015000000"
    "5a000000190000002a000000190000002a00000019000000820000001d000000"
    "16000000290000002a0000006a6f622d30303034313200000000000073756d73"
    "00000000626c75650000000072656769737472792f73756d733a310005000000"
    "220000000500000022000000626f780000000000626967000000000065617374"
    "00000000";

constexpr const char* kMinimalSubmissionFrame =
    "1001000000000000210000000000000002000200080706050403020103000200"
    "00000000050000001a00000004000000010003006e3200000000000002000000"
    "00000000090000005a0000000d0000000a0000000c000000090006006a6f622d"
    "3030303431320000000000000000000000000000030300000100000000000000"
    "0000000000000000000000000000000000000000000000000000000000000000"
    "0000000000000000000000000000000000000000000000000000f0bf15000000"
    "32000000150000002a000000150000002a000000150000002200000000000000"
    "00000000110000000a0000006a6f622d3100000073756d7300000000626c7565"
    "00000000696d6700000000000000000000000000";

constexpr const char* kInvalidSubmissionFrame =
    "80000000000000000f0000000000000002000200080706050403020103000200"
    "00000000050000001a00000004000000010003006e3200000000000002000000"
    "00000000090000003200000009000000d200000000000000000000006a6f622d"
    "370000006d697373696e67206f7220696e76616c69643a20636c617365000000"
    "00000000";

constexpr const char* kJobResponseFrame =
    "68000000000000000c0000000000000002000200080706050403020103000300"
    "00000000050000001a00000004000000020001006e3200000000000099010300"
    "70110100090000000500000001000000c2000000616e6f74686572206a6f6220"
    "686173207468697320696400";

constexpr const char* kHeartbeatFrame =
    "9802000000000000520000000000000002000200080706050403020103000400"
    "00000000050000001a00000004000000050005006e3200000000000001000000"
    "00000000030000000000000001000000000020000084d97b8901000000000000"
    "00803c40110000002a000000110000007a000000150000002200000015000000"
    "2a00000015000000270100006d2d31370000000031302e302e302e31373a3730"
    "30300000626f7800000000006561737400000000300000000200010001000000"
    "000000000000000000000000850000006a000000010000000000200001000000"
    "00000000810000006a000000030000000000000002000000000000007d000000"
    "6a00000004000000000000000400000000000000790000006a00000005000000"
    "000000000301000000000000750000006a000000060000000000000003020100"
    "00000000710000006a000000070000000000000003030000000000006d000000"
    "6a00000008000000000000000304000000000000690000006a00000009000000"
    "000000000305000000000000650000006a0000000a0000000000000003060000"
    "00000000610000006a0000000b0000000000000003070000000000005d000000"
    "720000000c00000000000000030800000000000059000000720000006a6f622d"
    "3030303431322f30000000006a6f622d3030303431322f31000000006a6f622d"
    "3030303431322f32000000006a6f622d3030303431322f33000000006a6f622d"
    "3030303431322f34000000006a6f622d3030303431322f35000000006a6f622d"
    "3030303431322f36000000006a6f622d3030303431322f37000000006a6f622d"
    "3030303431322f38000000006a6f622d3030303431322f39000000006a6f622d"
    "3030303431322f31300000006a6f622d3030303431322f3131000000";

constexpr const char* kMinimalHeartbeatFrame =
    "b000000000000000150000000000000002000200080706050403020103000400"
    "00000000050000001a00000004000000050005006e3200000000000000000000"
    "0000000000000000000000000000000000000000000000000000000000000000"
    "0000f0bf1100000022000000110000000a000000110000000a00000011000000"
    "0a00000011000000070000006d2d310000000000000000000000000000000000"
    "0000000000000000000000000000000002000100";

constexpr const char* kHeartbeatResponseFrame =
    "00010000000000001f0000000000000002000200080706050403020103000500"
    "00000000050000001a00000004000000020002006e32000000000000a5010000"
    "000000000084d97b890100000500000072000000090000006700000031302e30"
    "2e302e323a373030310000000c00000003000100000000000000000001000000"
    "000020000000000000000000210000006a000000010000000000000002000000"
    "000000000000000000001e40190000006a000000020000000000000003000000"
    "000000000000000000000000110000006a0000006a6f622d3030303431322f33"
    "000000006a6f622d3030303431322f34000000006a6f622d3030303431322f35"
    "00000000";

TEST(GoldenMeshWire, FrameWithoutBodyRoundTripsStableBytes) {
  EXPECT_EQ(EncodedHex(AddressedFrame()), kFrameWithoutBody);
  const PeerFrame frame = DecodedFrame(kFrameWithoutBody);
  ExpectAddressedFrame(frame);
  EXPECT_TRUE(std::holds_alternative<std::monostate>(frame.body));
}

TEST(GoldenMeshWire, PingEncodingIsStable) {
  PeerFrame frame = AddressedFrame();
  frame.body = FullPing();
  EXPECT_EQ(EncodedHex(frame), kPingFrame);
}

TEST(GoldenMeshWire, PingIsDecodedIntoAllFields) {
  const PeerFrame frame = DecodedFrame(kPingFrame);
  ExpectAddressedFrame(frame);
  ASSERT_TRUE(std::holds_alternative<PeerPing>(frame.body));
  const PeerPing& ping = std::get<PeerPing>(frame.body);
  EXPECT_EQ(ping.label, "n1");
  EXPECT_EQ(ping.instance, kLargeNumber);
  EXPECT_TRUE(ping.lease_valid);
  EXPECT_FALSE(ping.holds_leader_key);
  EXPECT_TRUE(ping.term_confirmed);
  EXPECT_EQ(ping.term, 102U);
  EXPECT_EQ(ping.leader, "n0");
  EXPECT_EQ(ping.reachable_peers, (std::vector<std::string>{"n0", "n2"}));
}

TEST(GoldenMeshWire, PingOfNonLeadingKeyHolderRoundTripsStableBytes) {
  PeerPing ping;
  ping.holds_leader_key = true;
  PeerFrame frame = AddressedFrame();
  frame.body = ping;
  EXPECT_EQ(EncodedHex(frame), kKeyHolderPingFrame);
  const PeerFrame decoded = DecodedFrame(kKeyHolderPingFrame);
  ASSERT_TRUE(std::holds_alternative<PeerPing>(decoded.body));
  EXPECT_FALSE(std::get<PeerPing>(decoded.body).lease_valid);
  EXPECT_TRUE(std::get<PeerPing>(decoded.body).holds_leader_key);
  EXPECT_FALSE(std::get<PeerPing>(decoded.body).term_confirmed);
}

TEST(GoldenMeshWire, SubmissionEncodingIsStable) {
  PeerFrame frame = AddressedFrame();
  frame.body = Submission();
  EXPECT_EQ(EncodedHex(frame), kSubmissionFrame);
}

TEST(GoldenMeshWire, SubmissionIsDecodedIntoAllFields) {
  const PeerFrame frame = DecodedFrame(kSubmissionFrame);
  ExpectAddressedFrame(frame);
  ASSERT_TRUE(std::holds_alternative<JobRequest>(frame.body));
  const JobRequest& request = std::get<JobRequest>(frame.body);
  EXPECT_EQ(request.operation, JobOperation::kSubmit);
  EXPECT_EQ(request.job_id, "job-000412");
  EXPECT_EQ(request.validation_error, "");
  ExpectSameJob(request.job, Submission().job);
}

TEST(GoldenMeshWire, ServiceWithoutTypeOrDeadlineRoundTripsStableBytes) {
  JobRequest request = Submission();
  request.job = MinimalJob();
  request.job.service = true;
  request.job.priority = Priority::kProduction;
  PeerFrame frame = AddressedFrame();
  frame.body = request;
  EXPECT_EQ(EncodedHex(frame), kMinimalSubmissionFrame);
  const PeerFrame decoded = DecodedFrame(kMinimalSubmissionFrame);
  ASSERT_TRUE(std::holds_alternative<JobRequest>(decoded.body));
  ExpectSameJob(std::get<JobRequest>(decoded.body).job, request.job);
}

TEST(GoldenMeshWire, InvalidSubmissionRoundTripsStableBytes) {
  PeerFrame frame = AddressedFrame();
  frame.body = InvalidSubmission();
  EXPECT_EQ(EncodedHex(frame), kInvalidSubmissionFrame);
  const PeerFrame decoded = DecodedFrame(kInvalidSubmissionFrame);
  ASSERT_TRUE(std::holds_alternative<JobRequest>(decoded.body));
  const JobRequest& request = std::get<JobRequest>(decoded.body);
  EXPECT_EQ(request.operation, JobOperation::kSubmit);
  EXPECT_EQ(request.job_id, "job-7");
  EXPECT_EQ(request.validation_error, "missing or invalid: clase");
}

TEST(GoldenMeshWire, JobResponseEncodingIsStable) {
  PeerFrame frame = AddressedFrame();
  frame.body = FullJobResponse();
  EXPECT_EQ(EncodedHex(frame), kJobResponseFrame);
}

TEST(GoldenMeshWire, JobResponseIsDecodedIntoAllFields) {
  const PeerFrame frame = DecodedFrame(kJobResponseFrame);
  ExpectAddressedFrame(frame);
  ASSERT_TRUE(std::holds_alternative<JobResponse>(frame.body));
  const JobResponse& response = std::get<JobResponse>(frame.body);
  EXPECT_EQ(response.status, 409);
  EXPECT_EQ(response.state, JobState::kCancelled);
  EXPECT_EQ(response.tasks_done, 70000U);
  EXPECT_EQ(response.tasks_running, 9U);
  EXPECT_EQ(response.error, "another job has this id");
  EXPECT_EQ(response.retry_after_s, 5);
}

TEST(GoldenMeshWire, HeartbeatEncodingIsStable) {
  PeerFrame frame = AddressedFrame();
  frame.body = FullHeartbeat();
  EXPECT_EQ(EncodedHex(frame), kHeartbeatFrame);
}

TEST(GoldenMeshWire, HeartbeatIsDecodedIntoAllFields) {
  const PeerFrame frame = DecodedFrame(kHeartbeatFrame);
  ExpectAddressedFrame(frame);
  ASSERT_TRUE(std::holds_alternative<Heartbeat>(frame.body));
  ExpectSameHeartbeat(std::get<Heartbeat>(frame.body), FullHeartbeat());
}

TEST(GoldenMeshWire, HeartbeatWithoutPreemptionNoticeRoundTripsStableBytes) {
  Heartbeat heartbeat;
  heartbeat.machine = "m-1";
  PeerFrame frame = AddressedFrame();
  frame.body = heartbeat;
  EXPECT_EQ(EncodedHex(frame), kMinimalHeartbeatFrame);
  const PeerFrame decoded = DecodedFrame(kMinimalHeartbeatFrame);
  ASSERT_TRUE(std::holds_alternative<Heartbeat>(decoded.body));
  ExpectSameHeartbeat(std::get<Heartbeat>(decoded.body), heartbeat);
}

TEST(GoldenMeshWire, HeartbeatResponseEncodingIsStable) {
  PeerFrame frame = AddressedFrame();
  frame.body = FullHeartbeatResponse();
  EXPECT_EQ(EncodedHex(frame), kHeartbeatResponseFrame);
}

TEST(GoldenMeshWire, HeartbeatResponseIsDecodedIntoAllFields) {
  const PeerFrame frame = DecodedFrame(kHeartbeatResponseFrame);
  ExpectAddressedFrame(frame);
  ASSERT_TRUE(std::holds_alternative<HeartbeatResponse>(frame.body));
  const HeartbeatResponse& response = std::get<HeartbeatResponse>(frame.body);
  EXPECT_EQ(response.status, 421);
  EXPECT_EQ(response.fencing_token, 1690000000000U);
  EXPECT_EQ(response.redirect_to, "10.0.0.2:7001");
  ExpectSameCommands(response.commands.commands(), CommandsOfAllKinds());
}

// Frames carry enumerators as numbers.
TEST(GoldenMeshWire, EnumeratorValuesAreStable) {
  EXPECT_EQ(static_cast<int>(JobOperation::kGet), 0);
  EXPECT_EQ(static_cast<int>(JobOperation::kCancel), 1);
  EXPECT_EQ(static_cast<int>(JobOperation::kSubmit), 2);
  EXPECT_EQ(static_cast<int>(JobState::kPending), 0);
  EXPECT_EQ(static_cast<int>(JobState::kRunning), 1);
  EXPECT_EQ(static_cast<int>(JobState::kDone), 2);
  EXPECT_EQ(static_cast<int>(JobState::kCancelled), 3);
  EXPECT_EQ(static_cast<int>(Priority::kIdle), 0);
  EXPECT_EQ(static_cast<int>(Priority::kNormal), 1);
  EXPECT_EQ(static_cast<int>(Priority::kUrgent), 2);
  EXPECT_EQ(static_cast<int>(Priority::kProduction), 3);
  EXPECT_EQ(static_cast<int>(CommandOp::kStart), 0);
  EXPECT_EQ(static_cast<int>(CommandOp::kStop), 1);
  EXPECT_EQ(static_cast<int>(CommandOp::kAcknowledgeExit), 2);
  EXPECT_EQ(static_cast<int>(ExitReason::kNone), 0);
}

}  // namespace
}  // namespace deckhall
