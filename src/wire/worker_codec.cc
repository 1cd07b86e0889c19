#include "wire/worker_codec.h"

#include "wire/json.h"

namespace deckhall {
namespace {

// Both directions use the same words.
struct StateWord {
  TaskState state;
  const char* word;
};
constexpr StateWord kStateWords[] = {{TaskState::kFetching, "pulling"},
                                     {TaskState::kRunning, "running"},
                                     {TaskState::kSaving, "flushing"},
                                     {TaskState::kGathering, "gathering"},
                                     {TaskState::kExited, "ended"}};
struct ExitWord {
  ExitWhy why;
  const char* word;
};
constexpr ExitWord kExitWords[] = {
    {ExitWhy::kDone, "done"},    {ExitWhy::kStopped, "stopped"},
    {ExitWhy::kError, "error"},  {ExitWhy::kNoRoom, "no_room"},
    {ExitWhy::kInUse, "in_use"}, {ExitWhy::kUnknown, "unknown"},
    {ExitWhy::kPeers, "peers"},  {ExitWhy::kIncomplete, "incomplete"}};
struct OpWord {
  CommandOp op;
  const char* word;
};
constexpr OpWord kOpWords[] = {
    {CommandOp::kStart, "launch"}, {CommandOp::kStop, "stop"}, {CommandOp::kForget, "clear"}};

bool ReadTaskState(const std::string& word, TaskState* out) {
  for (const StateWord& known : kStateWords) {
    if (word != known.word) continue;
    *out = known.state;
    return true;
  }
  return false;
}

// A reason we do not know is treated like a failure: the task is not done.
ExitWhy ReadWhy(const std::string& word) {
  for (const ExitWord& known : kExitWords) {
    if (word == known.word) return known.why;
  }
  return ExitWhy::kError;
}

const char* WordOf(TaskState state) {
  for (const StateWord& known : kStateWords) {
    if (state == known.state) return known.word;
  }
  return "";
}

const char* WordOf(ExitWhy why) {
  for (const ExitWord& known : kExitWords) {
    if (why == known.why) return known.word;
  }
  return "error";
}

const char* WordOf(CommandOp op) {
  for (const OpWord& known : kOpWords) {
    if (op == known.op) return known.word;
  }
  return "";
}

void WriteCommands(JsonWriter& w, const std::vector<Command>& commands) {
  w.Key("ordenes");
  w.StartArray();
  for (const Command& c : commands) {
    w.StartObject();
    PutString(w, "maniobra", WordOf(c.op));
    PutString(w, "faena", c.task);
    w.Key("intento");
    w.Uint64(c.attempt);
    if (c.op == CommandOp::kStop) {
      w.Key("tregua_s");
      w.Double(c.grace_s);
    }
    w.EndObject();
  }
  w.EndArray();
}

}  // namespace

bool DecodeReport(std::string_view body, Report* r) {
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
  if (!JsonU64(doc, "guardia", &r->session) || !JsonU64(doc, "correlativo", &r->seq)) return false;
  JsonU64(doc, "mando", &r->token);
  double notice = 0;
  if (JsonNumber(doc, "aviso_s", &notice)) r->notice_s = notice;
  const JsonValue* tasks = JsonMember(doc, "faenas");
  if (tasks == nullptr) return true;
  if (!tasks->IsArray()) return false;
  for (const auto& t : tasks->GetArray()) {
    TaskReport row;
    std::string word;
    if (!JsonString(t, "faena", &row.task) || !JsonU64(t, "intento", &row.attempt) ||
        !JsonString(t, "estado", &word) || !ReadTaskState(word, &row.state)) {
      return false;
    }
    if (row.state == TaskState::kExited) {
      word.clear();
      JsonString(t, "motivo", &word);
      row.why = ReadWhy(word);
      JsonBool(t, "saved", &row.saved);
    }
    r->tasks.push_back(std::move(row));
  }
  return true;
}

std::string EncodeReport(const Report& r) {
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
  w.Uint64(r.session);
  w.Key("correlativo");
  w.Uint64(r.seq);
  w.Key("mando");
  w.Uint64(r.token);
  if (r.notice_s) {
    w.Key("aviso_s");
    w.Double(*r.notice_s);
  }
  w.Key("faenas");
  w.StartArray();
  for (const TaskReport& t : r.tasks) {
    w.StartObject();
    PutString(w, "faena", t.task);
    w.Key("intento");
    w.Uint64(t.attempt);
    PutString(w, "estado", WordOf(t.state));
    if (t.state == TaskState::kExited) {
      PutString(w, "motivo", WordOf(t.why));
      w.Key("saved");
      w.Bool(t.saved);
    }
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

bool DecodeOrders(std::string_view body, WorkerOrders* orders) {
  rapidjson::Document doc;
  if (!ParseJson(body, &doc) || !JsonU64(doc, "mando", &orders->token)) return false;
  JsonU64(doc, "guardia", &orders->session);
  const JsonValue* rows = JsonMember(doc, "ordenes");
  if (rows == nullptr) return true;
  if (!rows->IsArray()) return false;
  for (const auto& row : rows->GetArray()) {
    Command command;
    std::string word;
    if (!JsonString(row, "maniobra", &word) || !JsonString(row, "faena", &command.task) ||
        !JsonU64(row, "intento", &command.attempt)) {
      return false;
    }
    bool known = false;
    for (const OpWord& op : kOpWords) {
      if (word != op.word) continue;
      command.op = op.op;
      known = true;
    }
    // What a worker does not know it leaves out.
    if (!known) continue;
    JsonNumber(row, "tregua_s", &command.grace_s);
    orders->commands.push_back(std::move(command));
  }
  return true;
}

std::string EncodeReportResponse(const ReportResponse& reply) {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  if (reply.status == 200) {
    w.Key("mando");
    w.Uint64(reply.token);
    WriteCommands(w, reply.commands);
  } else if (!reply.report_to.empty()) {
    PutString(w, "capitan", reply.report_to);
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
