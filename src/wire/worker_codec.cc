#include "wire/worker_codec.h"

#include "wire/json.h"

namespace deckhall {
namespace {

bool ReadTaskState(const std::string& word, TaskState* out) {
  if (word == "pulling") {
    *out = TaskState::kFetching;
  } else if (word == "running") {
    *out = TaskState::kRunning;
  } else if (word == "flushing") {
    *out = TaskState::kSaving;
  } else if (word == "gathering") {
    *out = TaskState::kGathering;
  } else if (word == "ended") {
    *out = TaskState::kExited;
  } else {
    return false;
  }
  return true;
}

// A reason we do not know is treated like a failure: the task is not done.
ExitWhy ReadWhy(const std::string& word) {
  if (word == "done") return ExitWhy::kDone;
  if (word == "stopped") return ExitWhy::kStopped;
  if (word == "no_room") return ExitWhy::kNoRoom;
  if (word == "in_use") return ExitWhy::kInUse;
  if (word == "unknown") return ExitWhy::kUnknown;
  if (word == "peers") return ExitWhy::kPeers;
  if (word == "incomplete") return ExitWhy::kIncomplete;
  return ExitWhy::kError;
}

void WriteCommands(JsonWriter& w, const std::vector<Command>& commands) {
  w.Key("ordenes");
  w.StartArray();
  for (const Command& c : commands) {
    w.StartObject();
    const char* op = c.op == CommandOp::kStart  ? "launch"
                     : c.op == CommandOp::kStop ? "stop"
                                                : "clear";
    PutString(w, "maniobra", op);
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
