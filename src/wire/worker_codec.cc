#include "wire/worker_codec.h"

#include "wire/json.h"

namespace deckhall {
namespace {

// Both directions use the same words.
struct DrainStateName {
  TaskState state;
  const char* word;
};
constexpr DrainStateName kStateWords[] = {{TaskState::kFetching, "pulling"},
                                          {TaskState::kRunning, "running"},
                                          {TaskState::kCheckpointing, "flushing"},
                                          {TaskState::kWaitingForGang, "gathering"},
                                          {TaskState::kExited, "ended"}};
struct ExitWord {
  ExitReason reason;
  const char* word;
};
constexpr ExitWord kExitWords[] = {{ExitReason::kDone, "done"},
                                   {ExitReason::kStopped, "stopped"},
                                   {ExitReason::kError, "error"},
                                   {ExitReason::kNoRoom, "no_room"},
                                   {ExitReason::kInUse, "in_use"},
                                   {ExitReason::kUnknown, "unknown"},
                                   {ExitReason::kGangMemberLost, "peers"},
                                   {ExitReason::kGangIncomplete, "incomplete"}};
struct OpWord {
  CommandOp operation;
  const char* word;
};
constexpr OpWord kOpWords[] = {{CommandOp::kStart, "launch"},
                               {CommandOp::kStop, "stop"},
                               {CommandOp::kAcknowledgeExit, "clear"}};

bool ReadTaskState(const std::string& word, TaskState* out) {
  for (const DrainStateName& known : kStateWords) {
    if (word != known.word) continue;
    *out = known.state;
    return true;
  }
  return false;
}

// A reason we do not know is treated like a failure: the task is not done.
ExitReason ReadExitReason(const std::string& word) {
  for (const ExitWord& known : kExitWords) {
    if (word == known.word) return known.reason;
  }
  return ExitReason::kError;
}

const char* WordOf(TaskState state) {
  for (const DrainStateName& known : kStateWords) {
    if (state == known.state) return known.word;
  }
  return "";
}

const char* WordOf(ExitReason why) {
  for (const ExitWord& known : kExitWords) {
    if (why == known.reason) return known.word;
  }
  return "error";
}

const char* WordOf(CommandOp op) {
  for (const OpWord& known : kOpWords) {
    if (op == known.operation) return known.word;
  }
  return "";
}

void WriteCommands(JsonWriter& writer, const std::vector<Command>& commands) {
  writer.Key("ordenes");
  writer.StartArray();
  for (const Command& command : commands) {
    writer.StartObject();
    PutString(writer, "maniobra", WordOf(command.operation));
    PutString(writer, "faena", command.task_name);
    writer.Key("intento");
    writer.Uint64(command.attempt);
    if (command.operation == CommandOp::kStop) {
      writer.Key("tregua_s");
      writer.Double(command.grace_period_s);
    }
    writer.EndObject();
  }
  writer.EndArray();
}

}  // namespace

bool DecodeHeartbeat(std::string_view body, Heartbeat* heartbeat) {
  rapidjson::Document doc;
  if (!ParseJson(body, &doc) || !doc.IsObject()) return false;
  if (!JsonString(doc, "cubierta", &heartbeat->machine) || heartbeat->machine.empty() ||
      heartbeat->machine.size() > 100) {
    return false;
  }
  if (!JsonString(doc, "endpoint", &heartbeat->endpoint) ||
      !JsonString(doc, "casco", &heartbeat->type) || !JsonString(doc, "muelle", &heartbeat->zone)) {
    return false;
  }
  JsonBool(doc, "prestados", &heartbeat->spot);
  if (!JsonU64(doc, "guardia", &heartbeat->agent_epoch) ||
      !JsonU64(doc, "correlativo", &heartbeat->sequence))
    return false;
  JsonU64(doc, "mando", &heartbeat->fencing_token);
  double notice = 0;
  if (JsonNumber(doc, "aviso_s", &notice)) heartbeat->preemption_notice_s = notice;
  const JsonValue* tasks = JsonMember(doc, "faenas");
  if (tasks == nullptr) return true;
  if (!tasks->IsArray()) return false;
  for (const auto& t : tasks->GetArray()) {
    TaskStatus status;
    std::string word;
    if (!JsonString(t, "faena", &status.task_name) || !JsonU64(t, "intento", &status.attempt) ||
        !JsonString(t, "estado", &word) || !ReadTaskState(word, &status.state)) {
      return false;
    }
    if (status.state == TaskState::kExited) {
      word.clear();
      JsonString(t, "motivo", &word);
      status.exit_reason = ReadExitReason(word);
      JsonBool(t, "saved", &status.checkpointed);
    }
    heartbeat->tasks.push_back(std::move(status));
  }
  return true;
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
  for (const TaskStatus& status : heartbeat.tasks) {
    writer.StartObject();
    PutString(writer, "faena", status.task_name);
    writer.Key("intento");
    writer.Uint64(status.attempt);
    PutString(writer, "estado", WordOf(status.state));
    if (status.state == TaskState::kExited) {
      PutString(writer, "motivo", WordOf(status.exit_reason));
      writer.Key("saved");
      writer.Bool(status.checkpointed);
    }
    writer.EndObject();
  }
  writer.EndArray();
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

bool DecodeCommands(std::string_view body, WorkerCommands* orders) {
  rapidjson::Document doc;
  if (!ParseJson(body, &doc) || !JsonU64(doc, "mando", &orders->fencing_token)) return false;
  JsonU64(doc, "guardia", &orders->agent_epoch);
  const JsonValue* rows = JsonMember(doc, "ordenes");
  if (rows == nullptr) return true;
  if (!rows->IsArray()) return false;
  for (const auto& row : rows->GetArray()) {
    Command command;
    std::string word;
    if (!JsonString(row, "maniobra", &word) || !JsonString(row, "faena", &command.task_name) ||
        !JsonU64(row, "intento", &command.attempt)) {
      return false;
    }
    bool known = false;
    for (const OpWord& op : kOpWords) {
      if (word != op.word) continue;
      command.operation = op.operation;
      known = true;
    }
    // What a worker does not know it leaves out.
    if (!known) continue;
    JsonNumber(row, "tregua_s", &command.grace_period_s);
    orders->commands.push_back(std::move(command));
  }
  return true;
}

std::string EncodeHeartbeatResponse(const HeartbeatResponse& response) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  if (response.status == 200) {
    writer.Key("mando");
    writer.Uint64(response.fencing_token);
    WriteCommands(writer, response.commands);
  } else if (!response.redirect_to.empty()) {
    PutString(writer, "capitan", response.redirect_to);
  } else {
    PutString(writer, "error", "no leader");
  }
  writer.EndObject();
  return buffer.GetString();
}

std::string EncodeCommands(uint64_t token, uint64_t session, const std::vector<Command>& commands) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  writer.Key("mando");
  writer.Uint64(token);
  writer.Key("guardia");
  writer.Uint64(session);
  WriteCommands(writer, commands);
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace deckhall
