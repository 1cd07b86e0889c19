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

void WriteCommands(JsonWriter& w, const std::vector<Command>& commands) {
  w.Key("ordenes");
  w.StartArray();
  for (const Command& c : commands) {
    w.StartObject();
    PutString(w, "maniobra", WordOf(c.operation));
    PutString(w, "faena", c.task_name);
    w.Key("intento");
    w.Uint64(c.attempt);
    if (c.operation == CommandOp::kStop) {
      w.Key("tregua_s");
      w.Double(c.grace_period_s);
    }
    w.EndObject();
  }
  w.EndArray();
}

}  // namespace

bool DecodeHeartbeat(std::string_view body, Heartbeat* r) {
  rapidjson::Document doc;
  if (!ParseJson(body, &doc) || !doc.IsObject()) return false;
  if (!JsonString(doc, "cubierta", &r->machine) || r->machine.empty() || r->machine.size() > 100) {
    return false;
  }
  if (!JsonString(doc, "endpoint", &r->endpoint) || !JsonString(doc, "casco", &r->type) ||
      !JsonString(doc, "muelle", &r->zone)) {
    return false;
  }
  JsonBool(doc, "prestados", &r->spot);
  if (!JsonU64(doc, "guardia", &r->agent_epoch) || !JsonU64(doc, "correlativo", &r->sequence))
    return false;
  JsonU64(doc, "mando", &r->fencing_token);
  double notice = 0;
  if (JsonNumber(doc, "aviso_s", &notice)) r->preemption_notice_s = notice;
  const JsonValue* tasks = JsonMember(doc, "faenas");
  if (tasks == nullptr) return true;
  if (!tasks->IsArray()) return false;
  for (const auto& t : tasks->GetArray()) {
    TaskStatus row;
    std::string word;
    if (!JsonString(t, "faena", &row.task_name) || !JsonU64(t, "intento", &row.attempt) ||
        !JsonString(t, "estado", &word) || !ReadTaskState(word, &row.state)) {
      return false;
    }
    if (row.state == TaskState::kExited) {
      word.clear();
      JsonString(t, "motivo", &word);
      row.exit_reason = ReadExitReason(word);
      JsonBool(t, "saved", &row.checkpointed);
    }
    r->tasks.push_back(std::move(row));
  }
  return true;
}

std::string EncodeHeartbeat(const Heartbeat& r) {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  PutString(w, "cubierta", r.machine);
  PutString(w, "endpoint", r.endpoint);
  PutString(w, "casco", r.type);
  PutString(w, "muelle", r.zone);
  w.Key("prestados");
  w.Bool(r.spot);
  w.Key("guardia");
  w.Uint64(r.agent_epoch);
  w.Key("correlativo");
  w.Uint64(r.sequence);
  w.Key("mando");
  w.Uint64(r.fencing_token);
  if (r.preemption_notice_s) {
    w.Key("aviso_s");
    w.Double(*r.preemption_notice_s);
  }
  w.Key("faenas");
  w.StartArray();
  for (const TaskStatus& t : r.tasks) {
    w.StartObject();
    PutString(w, "faena", t.task_name);
    w.Key("intento");
    w.Uint64(t.attempt);
    PutString(w, "estado", WordOf(t.state));
    if (t.state == TaskState::kExited) {
      PutString(w, "motivo", WordOf(t.exit_reason));
      w.Key("saved");
      w.Bool(t.checkpointed);
    }
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
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

std::string EncodeHeartbeatResponse(const HeartbeatResponse& reply) {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  if (reply.status == 200) {
    w.Key("mando");
    w.Uint64(reply.fencing_token);
    WriteCommands(w, reply.commands);
  } else if (!reply.redirect_to.empty()) {
    PutString(w, "capitan", reply.redirect_to);
  } else {
    PutString(w, "error", "no leader");
  }
  w.EndObject();
  return buffer.GetString();
}

std::string EncodeCommands(uint64_t token, uint64_t session, const std::vector<Command>& commands) {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  w.Key("mando");
  w.Uint64(token);
  w.Key("guardia");
  w.Uint64(session);
  WriteCommands(w, commands);
  w.EndObject();
  return buffer.GetString();
}

}  // namespace deckhall
