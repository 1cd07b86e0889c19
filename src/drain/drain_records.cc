#include "drain/drain_records.h"

#include <utility>

#include "wire/enum_words.h"
#include "wire/json.h"

namespace deckhall {
namespace {

constexpr size_t kMaxReasonBytes = 200;

constexpr EnumWord<DrainState> kDrainStateWords[] = {
    {DrainState::kActive, "active"}, {DrainState::kPaused, "paused"}, {DrainState::kDone, "done"}};

void PutNumber(JsonWriter& writer, const char* name, double value) {
  writer.Key(name);
  writer.Double(value);
}

void PutCount(JsonWriter& writer, const char* name, uint64_t value) {
  writer.Key(name);
  writer.Uint64(value);
}

}  // namespace

const char* DrainStateName(DrainState state) { return WordOf(kDrainStateWords, state, "active"); }

std::string EncodeProgress(const DrainProgress& progress) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.SetMaxDecimalPlaces(2);
  writer.StartObject();
  PutString(writer, "drain", progress.drain);
  PutString(writer, "state", DrainStateName(progress.state));
  PutNumber(writer, "since", progress.since_wall);
  PutCount(writer, "machines_done", progress.machines_done);
  PutCount(writer, "machines_left", progress.machines_left);
  PutCount(writer, "replicas_moved", progress.replicas_moved);
  PutCount(writer, "replicas_moving", progress.replicas_moving);
  PutCount(writer, "tasks_stopped", progress.tasks_stopped);
  PutCount(writer, "given_up", progress.evictions_given_up);
  PutString(writer, "why", std::string_view(progress.blocked_reason).substr(0, kMaxReasonBytes));
  PutNumber(writer, "waiting_since", progress.waiting_since_wall);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string EncodeEviction(const EvictionRecord& eviction) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.SetMaxDecimalPlaces(2);
  writer.StartObject();
  PutString(writer, "drain_step", eviction.drain);
  PutString(writer, "job", eviction.job);
  PutCount(writer, "task", eviction.task);
  PutString(writer, "machine", eviction.machine);
  PutCount(writer, "attempt", eviction.attempt);
  PutNumber(writer, "since", eviction.since_wall);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::optional<DrainProgress> DecodeProgress(std::string_view text) {
  rapidjson::Document document;
  DrainProgress progress;
  if (!ParseJson(text, &document) || !JsonString(document, "drain", &progress.drain)) {
    return std::nullopt;
  }
  std::string word;
  JsonString(document, "state", &word);
  progress.state = EnumOf(kDrainStateWords, word).value_or(DrainState::kActive);
  JsonNumber(document, "since", &progress.since_wall);
  JsonU64(document, "machines_done", &progress.machines_done);
  JsonU64(document, "machines_left", &progress.machines_left);
  JsonU64(document, "replicas_moved", &progress.replicas_moved);
  JsonU64(document, "replicas_moving", &progress.replicas_moving);
  JsonU64(document, "tasks_stopped", &progress.tasks_stopped);
  JsonU64(document, "given_up", &progress.evictions_given_up);
  JsonString(document, "why", &progress.blocked_reason);
  JsonNumber(document, "waiting_since", &progress.waiting_since_wall);
  return progress;
}

std::optional<EvictionRecord> DecodeEviction(std::string_view text) {
  rapidjson::Document document;
  EvictionRecord eviction;
  if (!ParseJson(text, &document) || !JsonString(document, "drain_step", &eviction.drain) ||
      !JsonString(document, "job", &eviction.job) ||
      !JsonString(document, "machine", &eviction.machine)) {
    return std::nullopt;
  }
  JsonU64(document, "task", &eviction.task);
  JsonU64(document, "attempt", &eviction.attempt);
  JsonNumber(document, "since", &eviction.since_wall);
  return eviction;
}

}  // namespace deckhall
