#include "config/settings.h"

#include <algorithm>

#include "wire/json.h"

namespace deckhall {
namespace {

std::string ReadEndpoint(const JsonValue& object, const char* name, Endpoint* out) {
  std::string text;
  if (!JsonString(object, name, &text)) return std::string(name) + ": missing";
  if (!ParseEndpoint(text, out)) return std::string(name) + ": not an address: " + text;
  return "";
}

// A positive number that may be missing.
std::string ReadPositive(const JsonValue* object, const char* name, double* out) {
  if (object == nullptr || JsonMember(*object, name) == nullptr) return "";
  double v = 0;
  if (!JsonNumber(*object, name, &v) || v <= 0 || v > 1e9) {
    return std::string(name) + ": not a positive number";
  }
  *out = v;
  return "";
}

std::string ReadTeam(const JsonValue& row, Team* team) {
  if (!JsonString(row, "name", &team->name) || team->name.empty()) return "teams: name missing";
  const std::pair<const char*, double*> amounts[] = {{"cpus", &team->cores},
                                                     {"cpus_max", &team->cores_max},
                                                     {"gpus", &team->gpus},
                                                     {"gpus_max", &team->gpus_max}};
  for (const auto& [name, to] : amounts) {
    if (JsonMember(row, name) == nullptr) continue;
    if (!JsonNumber(row, name, to) || *to < 0) return std::string("teams: ") + name + " invalid";
  }
  return "";
}

struct NumberField {
  const JsonValue* in;
  const char* name;
  double* to;
};

// Reads the limits that the object has; the others stay as they are.
std::string ReadStateLimits(const JsonValue* object, StateLimits* limits) {
  double ops = limits->txn_ops;
  const NumberField fields[] = {{object, "rps", &limits->rps},
                                {object, "write_rps", &limits->write_rps},
                                {object, "value_kb", &limits->value_kb},
                                {object, "txn_ops", &ops}};
  for (const NumberField& field : fields) {
    std::string bad = ReadPositive(field.in, field.name, field.to);
    if (!bad.empty()) return bad;
  }
  limits->txn_ops = static_cast<int>(std::clamp(ops, 1.0, 10000.0));
  return "";
}

StateLimits SmallerOf(const StateLimits& a, const StateLimits& b) {
  StateLimits smaller;
  smaller.rps = std::min(a.rps, b.rps);
  smaller.write_rps = std::min(a.write_rps, b.write_rps);
  smaller.value_kb = std::min(a.value_kb, b.value_kb);
  smaller.txn_ops = std::min(a.txn_ops, b.txn_ops);
  return smaller;
}

// The limits in force, and the announced ones that come without further notice.
std::string ReadStateSection(const JsonValue* state, Settings* settings) {
  std::string bad = ReadStateLimits(state, &settings->current_state_limits);
  if (!bad.empty()) return "state." + bad;
  settings->effective_state_limits = settings->current_state_limits;
  const JsonValue* next = state == nullptr ? nullptr : JsonMember(*state, "next");
  if (next == nullptr) return "";
  if (!next->IsObject()) return "state.next: not an object";
  StateLimits announced = settings->current_state_limits;
  bad = ReadStateLimits(next, &announced);
  if (!bad.empty()) return "state.next." + bad;
  settings->effective_state_limits = SmallerOf(settings->current_state_limits, announced);
  return "";
}

}  // namespace

std::string ReadSettings(const std::string& text, Settings* settings) {
  rapidjson::Document doc;
  if (!ParseJson(text, &doc) || !doc.IsObject()) return "not a JSON object";
  if (!JsonString(doc, "label", &settings->label) || settings->label.empty())
    return "label: missing";
  JsonString(doc, "site", &settings->site);
  std::string bad = ReadEndpoint(doc, "serve_on", &settings->serve_on);
  if (bad.empty()) bad = ReadEndpoint(doc, "mesh_addr", &settings->mesh_addr);
  if (!bad.empty()) return bad;
  if (const JsonValue* siblings = JsonMember(doc, "siblings")) {
    if (!siblings->IsArray()) return "siblings: not a list";
    for (const auto& row : siblings->GetArray()) {
      Peer peer;
      if (!JsonString(row, "label", &peer.label) || peer.label.empty())
        return "siblings: label missing";
      if (peer.label == settings->label) return "siblings: own label " + peer.label;
      JsonString(row, "site", &peer.site);
      bad = ReadEndpoint(row, "endpoint", &peer.at);
      if (!bad.empty()) return "siblings: " + bad;
      settings->siblings.push_back(std::move(peer));
    }
  }
  const JsonValue* external = JsonMember(doc, "external");
  if (external == nullptr) return "external: missing";
  bad = ReadEndpoint(*external, "cloud", &settings->cloud);
  if (bad.empty()) bad = ReadEndpoint(*external, "state", &settings->state);
  if (!bad.empty()) return "external: " + bad;
  const JsonValue* cluster = JsonMember(doc, "cluster");
  if (cluster == nullptr || !cluster->IsObject()) return "cluster: missing";
  if (const JsonValue* zones = JsonMember(*cluster, "zones")) {
    if (!zones->IsArray()) return "zones: not a list";
    for (const auto& z : zones->GetArray()) {
      if (!z.IsString()) return "zones: not names";
      settings->zones.emplace_back(z.GetString());
    }
  }
  if (const JsonValue* teams = JsonMember(*cluster, "teams")) {
    if (!teams->IsArray()) return "teams: not a list";
    for (const auto& row : teams->GetArray()) {
      Team team;
      bad = ReadTeam(row, &team);
      if (!bad.empty()) return bad;
      settings->teams.push_back(std::move(team));
    }
  }
  const JsonValue* workers = JsonMember(*cluster, "workers");
  const JsonValue* state = JsonMember(*cluster, "state");
  const JsonValue* cloud = JsonMember(*cluster, "cloud");
  const JsonValue* quota = JsonMember(*cluster, "quota");
  bad = ReadStateSection(state, settings);
  if (!bad.empty()) return bad;
  double sockets = settings->max_sockets;
  const NumberField numbers[] = {{workers, "report_s", &settings->heartbeat_interval_s},
                                 {workers, "lease_s", &settings->lease_s},
                                 {workers, "cancel_s", &settings->cancel_s},
                                 {workers, "gang_wait_s", &settings->gang_wait_s},
                                 {workers, "gang_peer_s", &settings->gang_loss_detection_s},
                                 {cloud, "rps", &settings->cloud_rps},
                                 {cloud, "list_lag_s", &settings->cloud_lag_s},
                                 {quota, "max_sockets", &sockets},
                                 {quota, "cores", &settings->quota_cores},
                                 {quota, "mem_mb", &settings->quota_memory_mb},
                                 {cluster, "time_bound_ms", &settings->wall_clock_bound_ms}};
  for (const NumberField& n : numbers) {
    bad = ReadPositive(n.in, n.name, n.to);
    if (!bad.empty()) return bad;
  }
  settings->max_sockets = static_cast<int>(std::clamp(sockets, 50.0, 1e6));
  return "";
}

}  // namespace deckhall
