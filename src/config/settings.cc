#include "config/settings.h"

#include <algorithm>

#include "wire/json.h"

namespace deckhall {
namespace {

std::string ReadEndpoint(const JsonValue& o, const char* name, Endpoint* out) {
  std::string text;
  if (!JsonString(o, name, &text)) return std::string(name) + ": missing";
  if (!ParseEndpoint(text, out)) return std::string(name) + ": not an address: " + text;
  return "";
}

// A positive number that may be missing.
std::string ReadPositive(const JsonValue* o, const char* name, double* out) {
  if (o == nullptr || JsonMember(*o, name) == nullptr) return "";
  double v = 0;
  if (!JsonNumber(*o, name, &v) || v <= 0 || v > 1e9) {
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
std::string ReadStateLimits(const JsonValue* o, StateLimits* limits) {
  double ops = limits->txn_ops;
  const NumberField fields[] = {{o, "rps", &limits->rps},
                                {o, "write_rps", &limits->write_rps},
                                {o, "value_kb", &limits->value_kb},
                                {o, "txn_ops", &ops}};
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
std::string ReadStateSection(const JsonValue* state, Settings* s) {
  std::string bad = ReadStateLimits(state, &s->current_state_limits);
  if (!bad.empty()) return "state." + bad;
  s->effective_state_limits = s->current_state_limits;
  const JsonValue* next = state == nullptr ? nullptr : JsonMember(*state, "next");
  if (next == nullptr) return "";
  if (!next->IsObject()) return "state.next: not an object";
  StateLimits announced = s->current_state_limits;
  bad = ReadStateLimits(next, &announced);
  if (!bad.empty()) return "state.next." + bad;
  s->effective_state_limits = SmallerOf(s->current_state_limits, announced);
  return "";
}

}  // namespace

std::string ReadSettings(const std::string& text, Settings* s) {
  rapidjson::Document doc;
  if (!ParseJson(text, &doc) || !doc.IsObject()) return "not a JSON object";
  if (!JsonString(doc, "label", &s->label) || s->label.empty()) return "label: missing";
  JsonString(doc, "site", &s->site);
  std::string bad = ReadEndpoint(doc, "serve_on", &s->serve_on);
  if (bad.empty()) bad = ReadEndpoint(doc, "mesh_addr", &s->mesh_addr);
  if (!bad.empty()) return bad;
  if (const JsonValue* siblings = JsonMember(doc, "siblings")) {
    if (!siblings->IsArray()) return "siblings: not a list";
    for (const auto& row : siblings->GetArray()) {
      Peer p;
      if (!JsonString(row, "label", &p.label) || p.label.empty()) return "siblings: label missing";
      if (p.label == s->label) return "siblings: own label " + p.label;
      JsonString(row, "site", &p.site);
      bad = ReadEndpoint(row, "endpoint", &p.at);
      if (!bad.empty()) return "siblings: " + bad;
      s->siblings.push_back(std::move(p));
    }
  }
  const JsonValue* external = JsonMember(doc, "external");
  if (external == nullptr) return "external: missing";
  bad = ReadEndpoint(*external, "cloud", &s->cloud);
  if (bad.empty()) bad = ReadEndpoint(*external, "state", &s->state);
  if (!bad.empty()) return "external: " + bad;
  const JsonValue* cluster = JsonMember(doc, "cluster");
  if (cluster == nullptr || !cluster->IsObject()) return "cluster: missing";
  if (const JsonValue* zones = JsonMember(*cluster, "zones")) {
    if (!zones->IsArray()) return "zones: not a list";
    for (const auto& z : zones->GetArray()) {
      if (!z.IsString()) return "zones: not names";
      s->zones.emplace_back(z.GetString());
    }
  }
  if (const JsonValue* teams = JsonMember(*cluster, "teams")) {
    if (!teams->IsArray()) return "teams: not a list";
    for (const auto& row : teams->GetArray()) {
      Team team;
      bad = ReadTeam(row, &team);
      if (!bad.empty()) return bad;
      s->teams.push_back(std::move(team));
    }
  }
  const JsonValue* workers = JsonMember(*cluster, "workers");
  const JsonValue* state = JsonMember(*cluster, "state");
  const JsonValue* cloud = JsonMember(*cluster, "cloud");
  const JsonValue* quota = JsonMember(*cluster, "quota");
  bad = ReadStateSection(state, s);
  if (!bad.empty()) return bad;
  double sockets = s->max_sockets;
  const NumberField numbers[] = {{workers, "report_s", &s->heartbeat_interval_s},
                                 {workers, "lease_s", &s->lease_s},
                                 {workers, "cancel_s", &s->cancel_s},
                                 {workers, "gang_wait_s", &s->gang_wait_s},
                                 {workers, "gang_peer_s", &s->gang_loss_detection_s},
                                 {cloud, "rps", &s->cloud_rps},
                                 {cloud, "list_lag_s", &s->cloud_lag_s},
                                 {quota, "max_sockets", &sockets},
                                 {quota, "cores", &s->quota_cores},
                                 {quota, "mem_mb", &s->quota_memory_mb},
                                 {cluster, "time_bound_ms", &s->wall_clock_bound_ms}};
  for (const NumberField& n : numbers) {
    bad = ReadPositive(n.in, n.name, n.to);
    if (!bad.empty()) return bad;
  }
  s->max_sockets = static_cast<int>(std::clamp(sockets, 50.0, 1e6));
  return "";
}

}  // namespace deckhall
