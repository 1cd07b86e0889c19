#include "drain/drain_records.h"

#include "wire/json.h"

namespace deckhall {
namespace {

constexpr size_t kLongestWhy = 200;

void PutNumber(JsonWriter& w, const char* name, double value) {
  w.Key(name);
  w.Double(value);
}

void PutCount(JsonWriter& w, const char* name, uint64_t value) {
  w.Key(name);
  w.Uint64(value);
}

}  // namespace

const char* DrainStateName(DrainState state) {
  switch (state) {
    case DrainState::kActive:
      return "active";
    case DrainState::kPaused:
      return "paused";
    case DrainState::kDone:
      return "done";
  }
  return "active";
}

std::string EncodeProgress(const DrainProgress& p) {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.SetMaxDecimalPlaces(2);
  w.StartObject();
  PutString(w, "drain", p.drain);
  PutString(w, "state", DrainStateName(p.state));
  PutNumber(w, "since", p.since_wall);
  PutCount(w, "machines_done", p.machines_done);
  PutCount(w, "machines_left", p.machines_left);
  PutCount(w, "replicas_moved", p.replicas_moved);
  PutCount(w, "replicas_moving", p.replicas_moving);
  PutCount(w, "tasks_stopped", p.tasks_stopped);
  PutCount(w, "given_up", p.steps_given_up);
  PutString(w, "why", std::string_view(p.why).substr(0, kLongestWhy));
  PutNumber(w, "waiting_since", p.waiting_since_wall);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string EncodeEviction(const EvictionRecord& s) {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.SetMaxDecimalPlaces(2);
  w.StartObject();
  PutString(w, "drain_step", s.drain);
  PutString(w, "job", s.job);
  PutCount(w, "task", s.task);
  PutString(w, "machine", s.machine);
  PutCount(w, "attempt", s.attempt);
  PutNumber(w, "since", s.since_wall);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

bool DecodeProgress(std::string_view text, DrainProgress* out) {
  rapidjson::Document doc;
  if (!ParseJson(text, &doc) || !JsonString(doc, "drain", &out->drain)) return false;
  std::string word;
  JsonString(doc, "state", &word);
  out->state = word == "done"     ? DrainState::kDone
               : word == "paused" ? DrainState::kPaused
                                  : DrainState::kActive;
  JsonNumber(doc, "since", &out->since_wall);
  JsonU64(doc, "machines_done", &out->machines_done);
  JsonU64(doc, "machines_left", &out->machines_left);
  JsonU64(doc, "replicas_moved", &out->replicas_moved);
  JsonU64(doc, "replicas_moving", &out->replicas_moving);
  JsonU64(doc, "tasks_stopped", &out->tasks_stopped);
  JsonU64(doc, "given_up", &out->steps_given_up);
  JsonString(doc, "why", &out->why);
  JsonNumber(doc, "waiting_since", &out->waiting_since_wall);
  return true;
}

bool DecodeEviction(std::string_view text, EvictionRecord* out) {
  rapidjson::Document doc;
  if (!ParseJson(text, &doc) || !JsonString(doc, "drain_step", &out->drain)) return false;
  if (!JsonString(doc, "job", &out->job) || !JsonString(doc, "machine", &out->machine)) {
    return false;
  }
  JsonU64(doc, "task", &out->task);
  JsonU64(doc, "attempt", &out->attempt);
  JsonNumber(doc, "since", &out->since_wall);
  return true;
}

}  // namespace deckhall
