#include "drain/policy.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/outcome/try.hpp>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

namespace deckhall {
namespace {

constexpr double kMaxSeconds = 10 * 365 * 86400.0;
constexpr double kMaxTasks = 1e6;
constexpr double kMaxRevision = 9e15;
constexpr size_t kMaxNameBytes = 60;
constexpr size_t kMaxDrains = 200;

using Check = Result<void, PolicyError>;

PolicyError UnknownEntry(const std::string& where, const SExpression& entry) {
  return {PolicyErrorKind::kUnknownEntry, where, entry.Name()};
}

// Path of an entry for error messages.
std::string PathOf(const std::string& where, const SExpression& entry) {
  return where + " " + entry.Name();
}

// Formats a number without trailing zeros.
std::string FormatDecimal(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

// Reads the value of an entry of the form (name "value").
Result<std::string, PolicyError> ReadValue(const SExpression& entry, const std::string& where) {
  std::string value = entry.Atom(1);
  if (entry.size() < 2 || value.empty()) {
    return PolicyError{PolicyErrorKind::kMissingValue, PathOf(where, entry)};
  }
  return value;
}

Result<double, PolicyError> ReadNumber(const SExpression& entry, const std::string& where,
                                       double min, double max) {
  const std::optional<double> value = ParseNumber(entry.Atom(1));
  if (!value || *value < min || *value > max) {
    return PolicyError{
        PolicyErrorKind::kOutOfRange, PathOf(where, entry),
        FormatDecimal(min) + " to " + FormatDecimal(max) + ": '" + entry.Atom(1) + "'"};
  }
  return *value;
}

Result<double, PolicyError> ReadInteger(const SExpression& entry, const std::string& where,
                                        double min, double max) {
  BOOST_OUTCOME_TRY(value, ReadNumber(entry, where, min, max));
  if (value != std::floor(value)) {
    return PolicyError{PolicyErrorKind::kNotInteger, PathOf(where, entry)};
  }
  return value;
}

// Calls `visit` for each element of the section from index `from` on, which must all be lists.
// Stops at the first error.
template <class Visit>
Check ForEachList(const SExpression& section, int from, const std::string& where,
                  const Visit& visit) {
  for (int i = from; i < section.size(); ++i) {
    const std::optional<SExpression> entry = section.List(i);
    if (!entry) return PolicyError{PolicyErrorKind::kNotList, where, section.Atom(i)};
    BOOST_OUTCOME_TRYV(visit(*entry));
  }
  return Success();
}

// (down "2"), (down "10%"), (down "10%" at-least-one)
Result<DownLimit, PolicyError> ReadDown(const SExpression& entry, const std::string& section) {
  const std::string where = section + " down";
  std::string text = entry.Atom(1);
  const bool is_percentage = !text.empty() && text.back() == '%';
  if (is_percentage) text.pop_back();
  const std::optional<double> amount = ParseNumber(text);
  if (!amount || *amount < 0 || (is_percentage ? *amount > 100 : *amount > kMaxTasks)) {
    return PolicyError{PolicyErrorKind::kInvalidLimit, where, entry.Atom(1)};
  }
  if (!is_percentage && *amount != std::floor(*amount)) {
    return PolicyError{PolicyErrorKind::kFractionalReplicas, where};
  }
  DownLimit limit;
  limit.unit = is_percentage ? DownLimit::Unit::kShare : DownLimit::Unit::kReplicas;
  limit.amount = is_percentage ? *amount / 100 : *amount;
  if (entry.size() > 2) {
    if (entry.Atom(2) != "at-least-one" || !is_percentage) {
      return PolicyError{PolicyErrorKind::kMisplacedAtLeastOne, where};
    }
    limit.at_least_one = true;
  }
  return limit;
}

Check ReadBudgetEntry(const SExpression& entry, const std::string& where,
                      DisruptionBudget* budget) {
  if (entry.Name() == "down") {
    BOOST_OUTCOME_TRY(down, ReadDown(entry, where));
    budget->down_limit = down;
    return Success();
  }
  if (entry.Name() == "stopped") {
    BOOST_OUTCOME_TRY(stopped, ReadInteger(entry, where, 0, kMaxTasks));
    budget->max_stopped_tasks = static_cast<uint32_t>(stopped);
    return Success();
  }
  return UnknownEntry(where, entry);
}

// (default (down ...))
Check ReadDefaultBudget(const SExpression& entry, DisruptionPolicy* policy) {
  return ForEachList(entry, 1, "default", [policy](const SExpression& limit) -> Check {
    if (limit.Name() != "down") return UnknownEntry("default", limit);
    BOOST_OUTCOME_TRY(down, ReadDown(limit, "default"));
    policy->default_down_limit = down;
    return Success();
  });
}

bool HasBudgetFor(const DisruptionPolicy& policy, const DisruptionBudget& budget) {
  return std::any_of(policy.budgets.begin(), policy.budgets.end(),
                     [&budget](const DisruptionBudget& other) {
                       return other.team == budget.team && other.job_class == budget.job_class;
                     });
}

// (team "name" (down ...) (stopped ...)) or (class "team" "class" (down ...) ...)
Check ReadBudget(const SExpression& entry, DisruptionPolicy* policy) {
  if (entry.Name() == "default") return ReadDefaultBudget(entry, policy);
  const bool is_class_budget = entry.Name() == "class";
  if (entry.Name() != "team" && !is_class_budget) return UnknownEntry("budgets", entry);
  DisruptionBudget budget;
  budget.team = entry.Atom(1);
  if (is_class_budget) budget.job_class = entry.Atom(2);
  if (budget.team.empty() || (is_class_budget && budget.job_class.empty())) {
    return PolicyError{PolicyErrorKind::kMissingName, PathOf("budgets", entry)};
  }
  std::string where = "budget of " + budget.team;
  if (is_class_budget) where += " " + budget.job_class;
  if (HasBudgetFor(*policy, budget)) return PolicyError{PolicyErrorKind::kDuplicate, where};
  const int first_limit = is_class_budget ? 3 : 2;
  BOOST_OUTCOME_TRYV(ForEachList(entry, first_limit, where, [&](const SExpression& limit) {
    return ReadBudgetEntry(limit, where, &budget);
  }));
  policy->budgets.push_back(std::move(budget));
  return Success();
}

Result<boost::asio::ip::network_v4, PolicyError> ReadNetwork(const SExpression& entry,
                                                             const std::string& where) {
  boost::system::error_code error;
  const auto network = boost::asio::ip::make_network_v4(entry.Atom(1), error);
  if (error) {
    return PolicyError{PolicyErrorKind::kNotNetwork, PathOf(where, entry), entry.Atom(1)};
  }
  return network.canonical();
}

// Reads a machine criterion of a drain. Returns false if the entry is not a criterion.
Result<bool, PolicyError> ReadCriterion(const SExpression& entry, const std::string& where,
                                        MachineSelector* machines) {
  const std::string name = entry.Name();
  if (name == "machine") {
    BOOST_OUTCOME_TRY(machine, ReadValue(entry, where));
    machines->names.push_back(std::move(machine));
  } else if (name == "type") {
    BOOST_OUTCOME_TRY(type, ReadValue(entry, where));
    machines->type = std::move(type);
  } else if (name == "zone") {
    BOOST_OUTCOME_TRY(zone, ReadValue(entry, where));
    machines->zone = std::move(zone);
  } else if (name == "network") {
    BOOST_OUTCOME_TRY(network, ReadNetwork(entry, where));
    machines->network = network;
  } else if (name == "everything") {
    machines->everything = true;
  } else {
    return false;
  }
  return true;
}

Check ReadDrainEntry(const SExpression& entry, const std::string& where, DrainRequest* drain) {
  BOOST_OUTCOME_TRY(is_criterion, ReadCriterion(entry, where, &drain->machines));
  if (is_criterion) return Success();
  if (entry.Name() == "deadline-s") {
    BOOST_OUTCOME_TRY(deadline_s, ReadNumber(entry, where, 0, kMaxSeconds));
    drain->deadline_s = deadline_s;
    return Success();
  }
  if (entry.Name() == "paused") {
    drain->paused = true;
    return Success();
  }
  return UnknownEntry(where, entry);
}

// A drain without criteria is an error: draining all machines requires an explicit (everything).
Check CheckSelection(const MachineSelector& machines, const std::string& where) {
  const bool has_criteria = !machines.names.empty() || !machines.type.empty() ||
                            !machines.zone.empty() || machines.network;
  if (!has_criteria && !machines.everything) {
    return PolicyError{PolicyErrorKind::kNoSelection, where};
  }
  if (has_criteria && machines.everything) {
    return PolicyError{PolicyErrorKind::kConflictingSelection, where};
  }
  return Success();
}

// (drain "name" (zone "...") ... (deadline-s "...") (paused))
Check ReadDrain(const SExpression& entry, DisruptionPolicy* policy) {
  if (entry.Name() != "drain") return UnknownEntry("drains", entry);
  DrainRequest drain;
  drain.name = entry.Atom(1);
  if (drain.name.empty() || drain.name.size() > kMaxNameBytes) {
    return PolicyError{PolicyErrorKind::kInvalidDrainName, "drain"};
  }
  const std::string where = "drain " + drain.name;
  if (policy->Find(drain.name) != nullptr) return PolicyError{PolicyErrorKind::kDuplicate, where};
  if (policy->drains.size() >= kMaxDrains) {
    return PolicyError{PolicyErrorKind::kTooManyDrains, "drains"};
  }
  BOOST_OUTCOME_TRYV(ForEachList(entry, 2, where, [&](const SExpression& part) {
    return ReadDrainEntry(part, where, &drain);
  }));
  BOOST_OUTCOME_TRYV(CheckSelection(drain.machines, where));
  policy->drains.push_back(std::move(drain));
  return Success();
}

// A field of EvictionLimits: either a number of seconds or a count.
struct LimitField {
  const char* name;
  double EvictionLimits::*seconds;  // null for a count
  uint32_t EvictionLimits::*count;  // null for a duration
  double min;
  double max;
};

constexpr LimitField kLimitFields[] = {
    {"settle-s", &EvictionLimits::settle_s, nullptr, 0, 3600},
    {"replace-within-s", &EvictionLimits::replacement_timeout_s, nullptr, 1, 86400},
    {"image-wait-s", &EvictionLimits::image_wait_s, nullptr, 0, 86400},
    {"window-s", &EvictionLimits::stop_window_s, nullptr, 1, 86400},
    {"at-once", nullptr, &EvictionLimits::max_evictions, 1, 1000},
    {"replacement-tries", nullptr, &EvictionLimits::max_replacement_attempts, 1, 100}};

Check ReadLimit(const SExpression& entry, EvictionLimits* limits) {
  const std::string where = "steps";
  const std::string name = entry.Name();
  for (const LimitField& field : kLimitFields) {
    if (name != field.name) continue;
    if (field.seconds != nullptr) {
      BOOST_OUTCOME_TRY(seconds, ReadNumber(entry, where, field.min, field.max));
      limits->*(field.seconds) = seconds;
    } else {
      BOOST_OUTCOME_TRY(count, ReadInteger(entry, where, field.min, field.max));
      limits->*(field.count) = static_cast<uint32_t>(count);
    }
    return Success();
  }
  return UnknownEntry(where, entry);
}

// Reads one section: sets the revision or the eviction limits, or adds budgets or drains.
Check ReadSection(const SExpression& section, DisruptionPolicy* policy) {
  const std::string name = section.Name();
  if (name == "revision") {
    BOOST_OUTCOME_TRY(revision, ReadInteger(section, "disruption", 1, kMaxRevision));
    policy->revision = static_cast<uint64_t>(revision);
    return Success();
  }
  if (name == "budgets") {
    return ForEachList(section, 1, name,
                       [policy](const SExpression& entry) { return ReadBudget(entry, policy); });
  }
  if (name == "drains") {
    return ForEachList(section, 1, name,
                       [policy](const SExpression& entry) { return ReadDrain(entry, policy); });
  }
  if (name == "steps") {
    return ForEachList(section, 1, name, [policy](const SExpression& entry) {
      return ReadLimit(entry, &policy->eviction_limits);
    });
  }
  return UnknownEntry("disruption", section);
}

// Describes the error without its location.
std::string DescribeKind(const PolicyError& error) {
  switch (error.kind) {
    case PolicyErrorKind::kNotSExpression:
      return DescribeError(error.syntax);
    case PolicyErrorKind::kWrongRoot:
      return "does not begin with (disruption";
    case PolicyErrorKind::kNotList:
      return "not a list: '" + error.detail + "'";
    case PolicyErrorKind::kUnknownEntry:
      return "unknown entry '" + error.detail + "'";
    case PolicyErrorKind::kMissingValue:
      return "a value is missing";
    case PolicyErrorKind::kOutOfRange:
      return "not a number from " + error.detail;
    case PolicyErrorKind::kNotInteger:
      return "not a whole number";
    case PolicyErrorKind::kInvalidLimit:
      return "neither a number of replicas nor a percentage up to 100%: '" + error.detail + "'";
    case PolicyErrorKind::kFractionalReplicas:
      return "not a whole number of replicas";
    case PolicyErrorKind::kMisplacedAtLeastOne:
      return "only at-least-one may follow the limit, and only a share in percent";
    case PolicyErrorKind::kMissingName:
      return "a name is missing";
    case PolicyErrorKind::kInvalidDrainName:
      return "a name of 1 to " + std::to_string(kMaxNameBytes) + " bytes is required";
    case PolicyErrorKind::kDuplicate:
      return "given twice";
    case PolicyErrorKind::kTooManyDrains:
      return "more drains than the maximum of " + std::to_string(kMaxDrains);
    case PolicyErrorKind::kNotNetwork:
      return "not an IPv4 network like 10.1.4.0/24: '" + error.detail + "'";
    case PolicyErrorKind::kNoSelection:
      return "names no machine, type, zone or network; use (everything) to drain all machines";
    case PolicyErrorKind::kConflictingSelection:
      return "(everything) allows no other selection";
    case PolicyErrorKind::kMissingRevision:
      return "a revision is missing";
    case PolicyErrorKind::kUnknownTeam:
      return "no such team: " + error.detail;
    case PolicyErrorKind::kUnknownZone:
      return "no such zone: " + error.detail;
    case PolicyErrorKind::kUnreadableFile:
      return "can't be read";
    case PolicyErrorKind::kTooLarge:
      return "the encoded policy takes " + std::to_string(error.bytes) +
             " bytes; a value of the state service holds at most " +
             std::to_string(error.max_bytes);
  }
  return "";
}

}  // namespace

uint64_t DownLimit::MaxDown(uint64_t replicas) const {
  if (unit == Unit::kReplicas) return static_cast<uint64_t>(amount);
  // The product may lie just below a whole number by floating-point rounding: 0.29 * 100.
  constexpr double kRounding = 1e-9;
  const auto max =
      static_cast<uint64_t>(std::floor(amount * static_cast<double>(replicas) + kRounding));
  return max == 0 && at_least_one ? 1 : max;
}

bool MachineSelector::CoversPool(const std::string& machine_type,
                                 const std::string& machine_zone) const {
  if (!names.empty() || network || everything) return false;
  return (type.empty() || type == machine_type) && (zone.empty() || zone == machine_zone);
}

bool MachineSelector::Matches(const std::string& name, const std::string& machine_type,
                              const std::string& machine_zone, const std::string& endpoint) const {
  if (everything) return true;
  if (!names.empty() && std::find(names.begin(), names.end(), name) == names.end()) return false;
  if (!type.empty() && type != machine_type) return false;
  if (!zone.empty() && zone != machine_zone) return false;
  if (!network) return true;
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address_v4(endpoint.substr(0, endpoint.rfind(':')), error);
  if (error) return false;
  const boost::asio::ip::network_v4 host(address, network->prefix_length());
  return host.canonical() == *network;
}

const DrainRequest* DisruptionPolicy::Find(const std::string& drain) const {
  auto it = std::find_if(drains.begin(), drains.end(),
                         [&drain](const DrainRequest& d) { return d.name == drain; });
  return it == drains.end() ? nullptr : &*it;
}

std::string DescribeError(const PolicyError& error) {
  const std::string text = DescribeKind(error);
  return error.where.empty() ? text : error.where + ": " + text;
}

Result<DisruptionPolicy, PolicyError> ReadPolicy(const std::string& text) {
  const auto root = SExpression::Parse(text);
  if (!root.has_value()) {
    return PolicyError{.kind = PolicyErrorKind::kNotSExpression, .syntax = root.error()};
  }
  if (root.value().Name() != "disruption") return PolicyError{PolicyErrorKind::kWrongRoot};
  DisruptionPolicy policy;
  policy.text = text;
  BOOST_OUTCOME_TRYV(ForEachList(root.value(), 1, "disruption", [&](const SExpression& section) {
    return ReadSection(section, &policy);
  }));
  // A revision in the file is at least 1, so 0 means that there is none.
  if (policy.revision == 0) return PolicyError{PolicyErrorKind::kMissingRevision, "disruption"};
  return policy;
}

Result<void, PolicyError> CheckPolicy(const DisruptionPolicy& policy, const Settings& settings) {
  for (const DisruptionBudget& budget : policy.budgets) {
    const bool known =
        std::any_of(settings.teams.begin(), settings.teams.end(),
                    [&budget](const Team& team) { return team.name == budget.team; });
    if (!known) return PolicyError{PolicyErrorKind::kUnknownTeam, "budgets", budget.team};
  }
  const std::set<std::string> zones(settings.zones.begin(), settings.zones.end());
  for (const DrainRequest& drain : policy.drains) {
    const std::string& zone = drain.machines.zone;
    if (!zone.empty() && !zones.contains(zone)) {
      return PolicyError{PolicyErrorKind::kUnknownZone, "drain " + drain.name, zone};
    }
  }
  return Success();
}

}  // namespace deckhall
