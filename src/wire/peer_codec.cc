// Names in mesh.capnp, which stay stable, and the terms that the code uses for them:
//
//   schema name        term
//   Report             heartbeat
//   ReportResponse     heartbeat response
//   UserRequest        job request
//   UserResponse       job response
//   Job.oneZone        single-zone
//   Job.apart          anti-affinity
//   Job.spot           spot-tolerant
//   Job.checkpointS    checkpoint interval
//   Job.saveS          checkpoint grace period
//   session            agent epoch
//   seq                sequence number
//   token              fencing token
//   noticeS            preemption notice; negative if unset
//   why                exit reason
//   saved              checkpointed
//   reportTo           label of the leader to send heartbeats to
//   Ping.leading       lease is valid
//   Ping.holding       holds the leader key
//   Ping.informed      term is confirmed
//   Ping.reaches       reachable peers
#include "wire/peer_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <utility>

#include "mesh.capnp.h"

namespace deckhall {
namespace {

constexpr int kLengthBytes = 4;
constexpr double kAbsent = -1;  // stands for an unset number that is otherwise never negative

std::string ToString(capnp::Text::Reader text) { return {text.cStr(), text.size()}; }
capnp::Text::Reader ToText(const std::string& text) { return {text.c_str(), text.size()}; }

// Enums are sent as numbers. Values added by a later version are replaced by `otherwise`.
template <class Enum>
Enum ToEnum(uint8_t number, Enum last, Enum otherwise) {
  return number > static_cast<uint8_t>(last) ? otherwise : static_cast<Enum>(number);
}

// For enums with exactly four values. Only the lower two bits are used.
template <class Enum>
Enum ToEnumOfFour(uint8_t number) {
  return static_cast<Enum>(number & 3);
}

void WriteJobSpec(const JobSpec& job, mesh::Job::Builder builder) {
  builder.setId(ToText(job.id));
  builder.setJobClass(ToText(job.job_class));
  builder.setTeam(ToText(job.team));
  builder.setService(job.service);
  builder.setGang(job.gang);
  builder.setPriority(static_cast<uint8_t>(job.priority));
  builder.setTasks(job.task_count);
  builder.setCores(job.cores);
  builder.setGpus(job.gpus);
  builder.setMemoryGb(job.memory_gb);
  builder.setImage(ToText(job.image));
  builder.setImageGb(job.image_gb);
  builder.setAnyType(!job.allowed_types.has_value());
  if (job.allowed_types) {
    auto types = builder.initTypes(static_cast<unsigned>(job.allowed_types->size()));
    for (unsigned i = 0; i < types.size(); ++i) types.set(i, ToText((*job.allowed_types)[i]));
  }
  builder.setZone(ToText(job.zone));
  builder.setOneZone(job.single_zone);
  builder.setApart(job.anti_affinity);
  builder.setSpot(job.spot_tolerant);
  builder.setEstimateS(job.estimated_runtime_s);
  builder.setCheckpointS(job.checkpoint_interval_s);
  builder.setSaveS(job.checkpoint_grace_s);
  builder.setDeadlineS(job.deadline_s.value_or(kAbsent));
}

JobSpec ReadJobSpec(mesh::Job::Reader reader) {
  JobSpec job;
  job.id = ToString(reader.getId());
  job.job_class = ToString(reader.getJobClass());
  job.team = ToString(reader.getTeam());
  job.service = reader.getService();
  job.gang = reader.getGang();
  job.priority = ToEnumOfFour<Priority>(reader.getPriority());
  job.task_count = reader.getTasks();
  job.cores = reader.getCores();
  job.gpus = reader.getGpus();
  job.memory_gb = reader.getMemoryGb();
  job.image = ToString(reader.getImage());
  job.image_gb = reader.getImageGb();
  if (!reader.getAnyType()) {
    job.allowed_types.emplace();
    for (auto type : reader.getTypes()) job.allowed_types->push_back(ToString(type));
  }
  job.zone = ToString(reader.getZone());
  job.single_zone = reader.getOneZone();
  job.anti_affinity = reader.getApart();
  job.spot_tolerant = reader.getSpot();
  job.estimated_runtime_s = reader.getEstimateS();
  job.checkpoint_interval_s = reader.getCheckpointS();
  job.checkpoint_grace_s = reader.getSaveS();
  if (reader.getDeadlineS() >= 0) job.deadline_s = reader.getDeadlineS();
  return job;
}

void WriteTaskStatus(const TaskStatus& status, mesh::TaskReport::Builder builder) {
  builder.setTask(ToText(status.task_name));
  builder.setAttempt(status.attempt);
  builder.setState(static_cast<uint8_t>(status.state));
  builder.setWhy(static_cast<uint8_t>(status.exit_reason));
  builder.setSaved(status.checkpointed);
}

TaskStatus ReadTaskStatus(mesh::TaskReport::Reader reader) {
  TaskStatus status;
  status.task_name = ToString(reader.getTask());
  status.attempt = reader.getAttempt();
  status.state = ToEnum(reader.getState(), TaskState::kWaitingForGang, TaskState::kExited);
  status.exit_reason = ToEnum(reader.getWhy(), ExitReason::kGangIncomplete, ExitReason::kError);
  status.checkpointed = reader.getSaved();
  return status;
}

void WriteCommand(const Command& command, mesh::Command::Builder builder) {
  builder.setOp(static_cast<uint8_t>(command.operation));
  builder.setTask(ToText(command.task_name));
  builder.setAttempt(command.attempt);
  builder.setGraceS(command.grace_period_s);
}

Command ReadCommand(mesh::Command::Reader reader) {
  Command command;
  command.operation =
      ToEnum(reader.getOp(), CommandOp::kAcknowledgeExit, CommandOp::kAcknowledgeExit);
  command.task_name = ToString(reader.getTask());
  command.attempt = reader.getAttempt();
  command.grace_period_s = reader.getGraceS();
  return command;
}

// Writes the body of a frame.
struct BodyWriter {
  mesh::Frame::Builder frame;

  void operator()(std::monostate) { frame.setNone(); }

  void operator()(const PeerPing& ping) {
    auto builder = frame.initPing();
    builder.setLabel(ToText(ping.label));
    builder.setInstance(ping.instance);
    builder.setLeading(ping.lease_valid);
    builder.setHolding(ping.holds_leader_key);
    builder.setInformed(ping.term_confirmed);
    builder.setTerm(ping.term);
    builder.setLeader(ToText(ping.leader));
    auto peers = builder.initReaches(static_cast<unsigned>(ping.reachable_peers.size()));
    for (unsigned i = 0; i < peers.size(); ++i) peers.set(i, ToText(ping.reachable_peers[i]));
  }

  void operator()(const JobRequest& request) {
    auto builder = frame.initUserRequest();
    builder.setOp(static_cast<uint8_t>(request.operation));
    builder.setId(ToText(request.job_id));
    builder.setInvalid(ToText(request.validation_error));
    if (request.operation == JobOperation::kSubmit && request.validation_error.empty()) {
      WriteJobSpec(request.job, builder.initJob());
    }
  }

  void operator()(const JobResponse& response) {
    auto builder = frame.initUserResponse();
    builder.setStatus(static_cast<uint16_t>(response.status));
    builder.setState(static_cast<uint8_t>(response.state));
    builder.setDone(response.tasks_done);
    builder.setRunning(response.tasks_running);
    builder.setError(ToText(response.error));
    builder.setRetryAfterS(static_cast<uint16_t>(response.retry_after_s));
  }

  void operator()(const Heartbeat& heartbeat) {
    auto builder = frame.initReport();
    builder.setMachine(ToText(heartbeat.machine));
    builder.setEndpoint(ToText(heartbeat.endpoint));
    builder.setType(ToText(heartbeat.type));
    builder.setZone(ToText(heartbeat.zone));
    builder.setSpot(heartbeat.spot);
    builder.setSession(heartbeat.agent_epoch);
    builder.setSeq(heartbeat.sequence);
    builder.setToken(heartbeat.fencing_token);
    builder.setNoticeS(heartbeat.preemption_notice_s.value_or(kAbsent));
    auto tasks = builder.initTasks(static_cast<unsigned>(heartbeat.tasks.size()));
    for (unsigned i = 0; i < tasks.size(); ++i) WriteTaskStatus(heartbeat.tasks[i], tasks[i]);
  }

  void operator()(const HeartbeatResponse& response) {
    auto builder = frame.initReportResponse();
    builder.setStatus(static_cast<uint16_t>(response.status));
    builder.setToken(response.fencing_token);
    builder.setReportTo(ToText(response.redirect_to));
    auto commands = builder.initCommands(static_cast<unsigned>(response.commands.size()));
    for (unsigned i = 0; i < commands.size(); ++i) WriteCommand(response.commands[i], commands[i]);
  }
};

PeerPing ReadPing(mesh::Ping::Reader reader) {
  PeerPing ping;
  ping.label = ToString(reader.getLabel());
  ping.instance = reader.getInstance();
  ping.lease_valid = reader.getLeading();
  ping.holds_leader_key = reader.getHolding();
  ping.term_confirmed = reader.getInformed();
  ping.term = reader.getTerm();
  ping.leader = ToString(reader.getLeader());
  for (auto peer : reader.getReaches()) ping.reachable_peers.push_back(ToString(peer));
  return ping;
}

JobRequest ReadJobRequest(mesh::UserRequest::Reader reader) {
  JobRequest request;
  request.operation = ToEnum(reader.getOp(), JobOperation::kSubmit, JobOperation::kGet);
  request.job_id = ToString(reader.getId());
  request.validation_error = ToString(reader.getInvalid());
  if (reader.hasJob()) request.job = ReadJobSpec(reader.getJob());
  return request;
}

JobResponse ReadJobResponse(mesh::UserResponse::Reader reader) {
  JobResponse response;
  response.status = reader.getStatus();
  response.state = ToEnumOfFour<JobState>(reader.getState());
  response.tasks_done = reader.getDone();
  response.tasks_running = reader.getRunning();
  response.error = ToString(reader.getError());
  response.retry_after_s = reader.getRetryAfterS();
  return response;
}

Heartbeat ReadHeartbeat(mesh::Report::Reader reader) {
  Heartbeat heartbeat;
  heartbeat.machine = ToString(reader.getMachine());
  heartbeat.endpoint = ToString(reader.getEndpoint());
  heartbeat.type = ToString(reader.getType());
  heartbeat.zone = ToString(reader.getZone());
  heartbeat.spot = reader.getSpot();
  heartbeat.agent_epoch = reader.getSession();
  heartbeat.sequence = reader.getSeq();
  heartbeat.fencing_token = reader.getToken();
  if (reader.getNoticeS() >= 0) heartbeat.preemption_notice_s = reader.getNoticeS();
  for (auto task : reader.getTasks()) heartbeat.tasks.push_back(ReadTaskStatus(task));
  return heartbeat;
}

HeartbeatResponse ReadHeartbeatResponse(mesh::ReportResponse::Reader reader) {
  HeartbeatResponse response;
  response.status = reader.getStatus();
  response.fencing_token = reader.getToken();
  response.redirect_to = ToString(reader.getReportTo());
  std::vector<Command> commands;
  for (auto command : reader.getCommands()) commands.push_back(ReadCommand(command));
  // The leader may run a version that does not bound its messages to workers.
  response.commands = CommandBatch::Of(commands);
  return response;
}

PeerFrame ReadFrame(mesh::Frame::Reader reader) {
  PeerFrame frame;
  frame.id = reader.getId();
  frame.target = ToString(reader.getTarget());
  frame.hops = reader.getHops();
  switch (reader.which()) {
    case mesh::Frame::NONE:
      break;
    case mesh::Frame::PING:
      frame.body = ReadPing(reader.getPing());
      break;
    case mesh::Frame::USER_REQUEST:
      frame.body = ReadJobRequest(reader.getUserRequest());
      break;
    case mesh::Frame::USER_RESPONSE:
      frame.body = ReadJobResponse(reader.getUserResponse());
      break;
    case mesh::Frame::REPORT:
      frame.body = ReadHeartbeat(reader.getReport());
      break;
    case mesh::Frame::REPORT_RESPONSE:
      frame.body = ReadHeartbeatResponse(reader.getReportResponse());
      break;
  }
  return frame;
}

void AppendLength(uint32_t length, std::string* out) {
  for (int i = 0; i < kLengthBytes; ++i) {
    out->push_back(static_cast<char>((length >> (8 * i)) & 255));
  }
}

}  // namespace

void EncodeFrame(const PeerFrame& frame, std::string* out) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<mesh::Frame>();
  root.setId(frame.id);
  root.setTarget(ToText(frame.target));
  root.setHops(frame.hops);
  std::visit(BodyWriter{root}, frame.body);
  auto words = capnp::messageToFlatArray(message);
  auto bytes = words.asBytes();
  AppendLength(static_cast<uint32_t>(bytes.size()), out);
  out->append(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

std::optional<PeerFrame> DecodeFrame(std::string_view bytes) {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) return std::nullopt;
  // The Cap'n Proto reader needs word-aligned data.
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes.data(), bytes.size());
  std::optional<PeerFrame> frame;
  auto failure = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words);
    frame = ReadFrame(reader.getRoot<mesh::Frame>());
  });
  KJ_IF_MAYBE (error, failure) {
    (void)error;
    return std::nullopt;
  }
  return frame;
}

}  // namespace deckhall
