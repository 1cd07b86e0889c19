#include "config/settings.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <utility>

#include "wire/json.h"

namespace deckhall {
namespace {

using Check = Result<void, SettingsError>;

constexpr double kMaxNumber = 1e9;
constexpr double kMinTransactionOperations = 1;
constexpr double kMaxTransactionOperations = 10000;
constexpr double kMinSockets = 50;
constexpr double kMaxSockets = 1e6;

// The same error with `section` in front of the field name.
SettingsError PrefixField(const std::string& section, SettingsError error) {
  error.field.insert(0, section);
  return error;
}

// The name of a number in the file and the member that stores its value.
template <class Record>
struct NumberField {
  const char* name;
  double Record::*member;
};

constexpr NumberField<Settings> kWorkerFields[] = {
    {"report_s", &Settings::heartbeat_interval_s},
    {"lease_s", &Settings::lease_s},
    {"cancel_s", &Settings::cancel_s},
    {"gang_wait_s", &Settings::gang_wait_s},
    {"gang_peer_s", &Settings::gang_loss_detection_s}};
constexpr NumberField<Settings> kCloudFields[] = {{"rps", &Settings::cloud_rps},
                                                  {"list_lag_s", &Settings::cloud_list_lag_s}};
constexpr NumberField<Settings> kQuotaFields[] = {{"cores", &Settings::quota_cores},
                                                  {"mem_mb", &Settings::quota_memory_mb}};
constexpr NumberField<Settings> kClusterFields[] = {
    {"time_bound_ms", &Settings::wall_clock_bound_ms}};
constexpr NumberField<StateLimits> kStateFields[] = {{"rps", &StateLimits::rps},
                                                     {"write_rps", &StateLimits::write_rps},
                                                     {"value_kb", &StateLimits::value_kb}};
constexpr NumberField<Team> kTeamFields[] = {{"cpus", &Team::guaranteed_cores},
                                             {"cpus_max", &Team::cores_max},
                                             {"gpus", &Team::guaranteed_gpus},
                                             {"gpus_max", &Team::gpus_max}};

Result<Endpoint, SettingsError> ReadEndpoint(const JsonValue& object, const char* name) {
  std::string text;
  if (!JsonString(object, name, &text)) return SettingsError{SettingsErrorKind::kMissing, name};
  Endpoint endpoint;
  if (!ParseEndpoint(text, &endpoint)) {
    return SettingsError{SettingsErrorKind::kNotAddress, name, text};
  }
  return endpoint;
}

// A positive number, or `default_value` if the section or the number is missing.
Result<double, SettingsError> ReadPositive(const JsonValue* section, const char* name,
                                           double default_value) {
  if (section == nullptr || JsonMember(*section, name) == nullptr) return default_value;
  double number = 0;
  if (!JsonNumber(*section, name, &number) || number <= 0 || number > kMaxNumber) {
    return SettingsError{SettingsErrorKind::kNotPositiveNumber, name};
  }
  return number;
}

// Reads the numbers that the section contains; the other members keep their values.
template <class Record, size_t N>
Check ReadNumbers(const JsonValue* section, const NumberField<Record> (&fields)[N],
                  Record* record) {
  for (const NumberField<Record>& field : fields) {
    BOOST_OUTCOME_TRY(number, ReadPositive(section, field.name, record->*(field.member)));
    record->*(field.member) = number;
  }
  return Success();
}

Result<Peer, SettingsError> ReadSibling(const JsonValue& row, const std::string& own_label) {
  Peer peer;
  if (!JsonString(row, "label", &peer.label) || peer.label.empty()) {
    return SettingsError{SettingsErrorKind::kMissingMember, "siblings", "label"};
  }
  if (peer.label == own_label) {
    return SettingsError{SettingsErrorKind::kDuplicateOwnLabel, "siblings", peer.label};
  }
  JsonString(row, "site", &peer.site);
  auto endpoint = ReadEndpoint(row, "endpoint");
  if (!endpoint.has_value()) return PrefixField("siblings: ", endpoint.error());
  peer.endpoint = std::move(endpoint.value());
  return peer;
}

Check ReadController(const JsonValue& document, Settings* settings) {
  if (!JsonString(document, "label", &settings->label) || settings->label.empty()) {
    return SettingsError{SettingsErrorKind::kMissing, "label"};
  }
  JsonString(document, "site", &settings->site);
  BOOST_OUTCOME_TRY(serve_on, ReadEndpoint(document, "serve_on"));
  settings->serve_on = std::move(serve_on);
  BOOST_OUTCOME_TRY(mesh_addr, ReadEndpoint(document, "mesh_addr"));
  settings->mesh_addr = std::move(mesh_addr);
  return Success();
}

Check ReadSiblings(const JsonValue& document, Settings* settings) {
  const JsonValue* siblings = JsonMember(document, "siblings");
  if (siblings == nullptr) return Success();
  if (!siblings->IsArray()) return SettingsError{SettingsErrorKind::kNotList, "siblings"};
  for (const auto& row : siblings->GetArray()) {
    BOOST_OUTCOME_TRY(peer, ReadSibling(row, settings->label));
    settings->siblings.push_back(std::move(peer));
  }
  return Success();
}

// Reads the endpoints of the external services that the controllers use.
Check ReadExternalServices(const JsonValue& document, Settings* settings) {
  const JsonValue* external = JsonMember(document, "external");
  if (external == nullptr) return SettingsError{SettingsErrorKind::kMissing, "external"};
  auto cloud = ReadEndpoint(*external, "cloud");
  if (!cloud.has_value()) return PrefixField("external: ", cloud.error());
  settings->cloud = std::move(cloud.value());
  auto state = ReadEndpoint(*external, "state");
  if (!state.has_value()) return PrefixField("external: ", state.error());
  settings->state = std::move(state.value());
  return Success();
}

Check ReadZones(const JsonValue& cluster, Settings* settings) {
  const JsonValue* zones = JsonMember(cluster, "zones");
  if (zones == nullptr) return Success();
  if (!zones->IsArray()) return SettingsError{SettingsErrorKind::kNotList, "zones"};
  for (const auto& zone : zones->GetArray()) {
    if (!zone.IsString()) return SettingsError{SettingsErrorKind::kNotStrings, "zones"};
    settings->zones.emplace_back(zone.GetString());
  }
  return Success();
}

Result<Team, SettingsError> ReadTeam(const JsonValue& row) {
  Team team;
  if (!JsonString(row, "name", &team.name) || team.name.empty()) {
    return SettingsError{SettingsErrorKind::kMissingMember, "teams", "name"};
  }
  for (const NumberField<Team>& field : kTeamFields) {
    if (JsonMember(row, field.name) == nullptr) continue;
    double& amount = team.*(field.member);
    if (!JsonNumber(row, field.name, &amount) || amount < 0) {
      return SettingsError{SettingsErrorKind::kInvalidMember, "teams", field.name};
    }
  }
  return team;
}

Check ReadTeams(const JsonValue& cluster, Settings* settings) {
  const JsonValue* teams = JsonMember(cluster, "teams");
  if (teams == nullptr) return Success();
  if (!teams->IsArray()) return SettingsError{SettingsErrorKind::kNotList, "teams"};
  for (const auto& row : teams->GetArray()) {
    BOOST_OUTCOME_TRY(team, ReadTeam(row));
    settings->teams.push_back(std::move(team));
  }
  return Success();
}

// The limits that the section contains; the others are those of `defaults`.
Result<StateLimits, SettingsError> ReadStateLimits(const JsonValue* section,
                                                   const StateLimits& defaults) {
  StateLimits limits = defaults;
  BOOST_OUTCOME_TRYV(ReadNumbers(section, kStateFields, &limits));
  BOOST_OUTCOME_TRY(operations, ReadPositive(section, "txn_ops", limits.txn_ops));
  limits.txn_ops = static_cast<int>(
      std::clamp(operations, kMinTransactionOperations, kMaxTransactionOperations));
  return limits;
}

StateLimits MinLimits(const StateLimits& a, const StateLimits& b) {
  StateLimits smaller;
  smaller.rps = std::min(a.rps, b.rps);
  smaller.write_rps = std::min(a.write_rps, b.write_rps);
  smaller.value_kb = std::min(a.value_kb, b.value_kb);
  smaller.txn_ops = std::min(a.txn_ops, b.txn_ops);
  return smaller;
}

// Reads the limits in force and the announced ones, which may take effect without further notice.
Check ReadStateSection(const JsonValue* section, Settings* settings) {
  const auto current = ReadStateLimits(section, settings->current_state_limits);
  if (!current.has_value()) return PrefixField("state.", current.error());
  settings->current_state_limits = current.value();
  settings->effective_state_limits = current.value();
  const JsonValue* next = section == nullptr ? nullptr : JsonMember(*section, "next");
  if (next == nullptr) return Success();
  if (!next->IsObject()) return SettingsError{SettingsErrorKind::kNotObject, "state.next"};
  const auto announced = ReadStateLimits(next, current.value());
  if (!announced.has_value()) return PrefixField("state.next.", announced.error());
  settings->effective_state_limits = MinLimits(current.value(), announced.value());
  return Success();
}

Check ReadQuota(const JsonValue* section, Settings* settings) {
  BOOST_OUTCOME_TRY(sockets, ReadPositive(section, "max_sockets", settings->max_sockets));
  settings->max_sockets = static_cast<int>(std::clamp(sockets, kMinSockets, kMaxSockets));
  return ReadNumbers(section, kQuotaFields, settings);
}

Check ReadCluster(const JsonValue& document, Settings* settings) {
  const JsonValue* cluster = JsonMember(document, "cluster");
  if (cluster == nullptr || !cluster->IsObject()) {
    return SettingsError{SettingsErrorKind::kMissing, "cluster"};
  }
  BOOST_OUTCOME_TRYV(ReadZones(*cluster, settings));
  BOOST_OUTCOME_TRYV(ReadTeams(*cluster, settings));
  BOOST_OUTCOME_TRYV(ReadStateSection(JsonMember(*cluster, "state"), settings));
  BOOST_OUTCOME_TRYV(ReadNumbers(JsonMember(*cluster, "workers"), kWorkerFields, settings));
  BOOST_OUTCOME_TRYV(ReadNumbers(JsonMember(*cluster, "cloud"), kCloudFields, settings));
  BOOST_OUTCOME_TRYV(ReadQuota(JsonMember(*cluster, "quota"), settings));
  return ReadNumbers(cluster, kClusterFields, settings);
}

}  // namespace

std::string DescribeError(const SettingsError& error) {
  switch (error.kind) {
    case SettingsErrorKind::kNotJsonObject:
      return "not a JSON object";
    case SettingsErrorKind::kMissing:
      return error.field + ": missing";
    case SettingsErrorKind::kMissingMember:
      return error.field + ": " + error.detail + " missing";
    case SettingsErrorKind::kInvalidMember:
      return error.field + ": " + error.detail + " invalid";
    case SettingsErrorKind::kNotAddress:
      return error.field + ": not an address: " + error.detail;
    case SettingsErrorKind::kNotPositiveNumber:
      return error.field + ": not a positive number";
    case SettingsErrorKind::kNotList:
      return error.field + ": not a list";
    case SettingsErrorKind::kNotObject:
      return error.field + ": not an object";
    case SettingsErrorKind::kNotStrings:
      return error.field + ": not a list of strings";
    case SettingsErrorKind::kDuplicateOwnLabel:
      return error.field + ": label of this controller itself: " + error.detail;
  }
  return "";
}

Result<Settings, SettingsError> ReadSettings(const std::string& text) {
  rapidjson::Document document;
  if (!ParseJson(text, &document) || !document.IsObject()) {
    return SettingsError{SettingsErrorKind::kNotJsonObject};
  }
  Settings settings;
  BOOST_OUTCOME_TRYV(ReadController(document, &settings));
  BOOST_OUTCOME_TRYV(ReadSiblings(document, &settings));
  BOOST_OUTCOME_TRYV(ReadExternalServices(document, &settings));
  BOOST_OUTCOME_TRYV(ReadCluster(document, &settings));
  return settings;
}

}  // namespace deckhall
