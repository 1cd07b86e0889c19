// Names on the wire and the terms that the code uses for them:
//
//   wire name    term
//   cubierta     machine name
//   casco        machine type
//   muelle       zone
//   prestados    spot
//   guardia      agent epoch
//   correlativo  sequence number
//   mando        fencing token
//   aviso_s      preemption notice
//   faenas       tasks
//   faena        task name
//   intento      attempt
//   estado       task state
//   motivo       exit reason
//   saved        checkpointed
//   ordenes      commands
//   maniobra     operation of a command
//   tregua_s     grace period
//   capitan      label of the leader to send heartbeats to
#include "wire/worker_codec.h"

#include <utility>

#include "wire/enum_words.h"
#include "wire/json.h"
#include "wire/message_limits.h"

namespace deckhall {
namespace {

constexpr size_t kMaxMachineNameBytes = 100;
// A worker does not need the label of the leader, so a longer one is left out.
constexpr size_t kMaxLabelBytes = 1000;

constexpr EnumWord<TaskState> kTaskStateWords[] = {{TaskState::kFetching, "pulling"},
                                                   {TaskState::kRunning, "running"},
                                                   {TaskState::kCheckpointing, "flushing"},
                                                   {TaskState::kWaitingForGang, "gathering"},
                                                   {TaskState::kExited, "ended"}};
constexpr EnumWord<ExitReason> kExitReasonWords[] = {{ExitReason::kDone, "done"},
                                                     {ExitReason::kStopped, "stopped"},
                                                     {ExitReason::kError, "error"},
                                                     {ExitReason::kInsufficientCapacity, "no_room"},
                                                     {ExitReason::kAttemptConflict, "in_use"},
                                                     {ExitReason::kUnknownTask, "unknown"},
                                                     {ExitReason::kGangMemberLost, "peers"},
                                                     {ExitReason::kGangIncomplete, "incomplete"}};
constexpr EnumWord<CommandOp> kCommandWords[] = {{CommandOp::kStart, "launch"},
                                                 {CommandOp::kStop, "stop"},
                                                 {CommandOp::kAcknowledgeExit, "clear"}};

// An unknown reason is treated as an error, so that the task does not count as done.
ExitReason ReadExitReason(const JsonValue& row) {
  std::string word;
  JsonString(row, "motivo", &word);
  return EnumOf(kExitReasonWords, word).value_or(ExitReason::kError);
}

std::optional<TaskStatus> ReadTaskStatus(const JsonValue& row) {
  TaskStatus status;
  std::string word;
  if (!JsonString(row, "faena", &status.task_name) || !JsonU64(row, "intento", &status.attempt) ||
      !JsonString(row, "estado", &word)) {
    return std::nullopt;
  }
  if (status.task_name.size() > kMaxTaskNameBytes) return std::nullopt;
  const std::optional<TaskState> state = EnumOf(kTaskStateWords, word);
  if (!state) return std::nullopt;
  status.state = *state;
  if (status.state == TaskState::kExited) {
    status.exit_reason = ReadExitReason(row);
    JsonBool(row, "saved", &status.checkpointed);
  }
  return status;
}

// Reads the fields of a heartbeat that describe the machine.
bool ReadMachine(const JsonValue& document, Heartbeat* heartbeat) {
  if (!JsonString(document, "cubierta", &heartbeat->machine) || heartbeat->machine.empty() ||
      heartbeat->machine.size() > kMaxMachineNameBytes) {
    return false;
  }
  if (!JsonString(document, "endpoint", &heartbeat->endpoint) ||
      !JsonString(document, "casco", &heartbeat->type) ||
      !JsonString(document, "muelle", &heartbeat->zone)) {
    return false;
  }
  JsonBool(document, "prestados", &heartbeat->spot);
  if (!JsonU64(document, "guardia", &heartbeat->agent_epoch) ||
      !JsonU64(document, "correlativo", &heartbeat->sequence)) {
    return false;
  }
  JsonU64(document, "mando", &heartbeat->fencing_token);
  double notice_s = 0;
  if (JsonNumber(document, "aviso_s", &notice_s)) heartbeat->preemption_notice_s = notice_s;
  return true;
}

void WriteTaskStatus(JsonWriter& writer, const TaskStatus& status) {
  writer.StartObject();
  PutString(writer, "faena", status.task_name);
  writer.Key("intento");
  writer.Uint64(status.attempt);
  PutString(writer, "estado", WordOf(kTaskStateWords, status.state));
  if (status.state == TaskState::kExited) {
    PutString(writer, "motivo", WordOf(kExitReasonWords, status.exit_reason, "error"));
    writer.Key("saved");
    writer.Bool(status.checkpointed);
  }
  writer.EndObject();
}

enum class CommandReading { kRead, kUnknownOperation, kMalformed };

CommandReading ReadCommand(const JsonValue& row, Command* command) {
  std::string word;
  if (!JsonString(row, "maniobra", &word) || !JsonString(row, "faena", &command->task_name) ||
      !JsonU64(row, "intento", &command->attempt)) {
    return CommandReading::kMalformed;
  }
  const std::optional<CommandOp> operation = EnumOf(kCommandWords, word);
  if (!operation) return CommandReading::kUnknownOperation;
  command->operation = *operation;
  JsonNumber(row, "tregua_s", &command->grace_period_s);
  return CommandReading::kRead;
}

void WriteCommand(JsonWriter& writer, const Command& command) {
  writer.StartObject();
  PutString(writer, "maniobra", WordOf(kCommandWords, command.operation));
  PutString(writer, "faena", command.task_name);
  writer.Key("intento");
  writer.Uint64(command.attempt);
  if (command.operation == CommandOp::kStop) {
    writer.Key("tregua_s");
    writer.Double(command.grace_period_s);
  }
  writer.EndObject();
}

void WriteCommands(JsonWriter& writer, const CommandBatch& commands) {
  writer.Key("ordenes");
  writer.StartArray();
  for (const Command& command : commands) WriteCommand(writer, command);
  writer.EndArray();
}

// Length of the text without its terminating zero.
template <size_t N>
constexpr size_t LengthOf(const char (&)[N]) {
  return N - 1;
}

// Longest names and numbers of a heartbeat's fields, apart from its tasks. The endpoint, the
// machine type and the zone have 200 bytes each.
constexpr size_t kMaxHeartbeatHeaderBytes = 1024;
// The longest row, without the name of its task. It has five fields.
constexpr size_t kMaxTaskStatusBytesWithoutName =
    LengthOf(R"({"faena": "", "intento": 18446744073709551615, "estado": "ended", )"
             R"("motivo": "incomplete", "saved": false}, )");

}  // namespace

const size_t kMaxCommandEnvelopeBytes =
    LengthOf(R"({"mando":18446744073709551615,"guardia":18446744073709551615,"ordenes":[]})");
const size_t kHeartbeatTaskBytes = kMaxMessageBytes - kMaxHeartbeatHeaderBytes;

size_t EncodedBytes(const Command& command) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  WriteCommand(writer, command);
  return buffer.GetSize();
}

size_t MaxTaskStatusBytes(size_t task_name_bytes) {
  return kMaxTaskStatusBytesWithoutName + task_name_bytes;
}

std::optional<Heartbeat> DecodeHeartbeat(std::string_view body) {
  rapidjson::Document document;
  if (!ParseJson(body, &document) || !document.IsObject()) return std::nullopt;
  Heartbeat heartbeat;
  if (!ReadMachine(document, &heartbeat)) return std::nullopt;
  const JsonValue* rows = JsonMember(document, "faenas");
  if (rows == nullptr) return heartbeat;
  if (!rows->IsArray()) return std::nullopt;
  for (const auto& row : rows->GetArray()) {
    std::optional<TaskStatus> status = ReadTaskStatus(row);
    if (!status) return std::nullopt;
    heartbeat.tasks.push_back(std::move(*status));
  }
  return heartbeat;
}

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  PutString(writer, "cubierta", heartbeat.machine);
  PutString(writer, "endpoint", heartbeat.endpoint);
  PutString(writer, "casco", heartbeat.type);
  PutString(writer, "muelle", heartbeat.zone);
  writer.Key("prestados");
  writer.Bool(heartbeat.spot);
  writer.Key("guardia");
  writer.Uint64(heartbeat.agent_epoch);
  writer.Key("correlativo");
  writer.Uint64(heartbeat.sequence);
  writer.Key("mando");
  writer.Uint64(heartbeat.fencing_token);
  if (heartbeat.preemption_notice_s) {
    writer.Key("aviso_s");
    writer.Double(*heartbeat.preemption_notice_s);
  }
  writer.Key("faenas");
  writer.StartArray();
  for (const TaskStatus& status : heartbeat.tasks) WriteTaskStatus(writer, status);
  writer.EndArray();
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::optional<WorkerCommands> DecodeCommands(std::string_view body) {
  rapidjson::Document document;
  WorkerCommands commands;
  if (!ParseJson(body, &document) || !JsonU64(document, "mando", &commands.fencing_token)) {
    return std::nullopt;
  }
  JsonU64(document, "guardia", &commands.agent_epoch);
  const JsonValue* rows = JsonMember(document, "ordenes");
  if (rows == nullptr) return commands;
  if (!rows->IsArray()) return std::nullopt;
  for (const auto& row : rows->GetArray()) {
    Command command;
    const CommandReading reading = ReadCommand(row, &command);
    if (reading == CommandReading::kMalformed) return std::nullopt;
    if (reading == CommandReading::kRead) commands.commands.push_back(std::move(command));
  }
  return commands;
}

std::string EncodeHeartbeatResponse(const HeartbeatResponse& response) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  if (response.status == 200) {
    writer.Key("mando");
    writer.Uint64(response.fencing_token);
    WriteCommands(writer, response.commands);
  } else if (!response.redirect_to.empty() && response.redirect_to.size() <= kMaxLabelBytes) {
    PutString(writer, "capitan", response.redirect_to);
  } else {
    PutString(writer, "error", "no leader");
  }
  writer.EndObject();
  return buffer.GetString();
}

std::string EncodeCommands(uint64_t fencing_token, uint64_t agent_epoch,
                           const CommandBatch& commands) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("mando");
  writer.Uint64(fencing_token);
  writer.Key("guardia");
  writer.Uint64(agent_epoch);
  WriteCommands(writer, commands);
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace deckhall
