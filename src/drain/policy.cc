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

constexpr double kMostSeconds = 10 * 365 * 86400.0;
constexpr double kMostTasks = 1e6;
constexpr double kMostRevision = 9e15;
constexpr size_t kLongestName = 60;
constexpr size_t kMostDrains = 200;

using Check = Result<void, PolicyError>;

PolicyError UnknownEntry(const std::string& where, const SExpression& entry) {
  return {PolicyErrorKind::kUnknownEntry, where, entry.Name()};
}

// Where the value of an entry stands, as operators read it.
std::string PathOf(const std::string& where, const SExpression& entry) {
  return where + " " + entry.Name();
}

// Without trailing zeros.
std::string Decimal(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

// The only value of an entry such as (name "value").
Result<std::string, PolicyError> ReadValue(const SExpression& entry, const std::string& where) {
  std::string value = entry.Atom(1);
  if (entry.size() < 2 || value.empty()) {
    return PolicyError{PolicyErrorKind::kMissingValue, PathOf(where, entry)};
  }
  return value;
}

Result<double, PolicyError> ReadNumber(const SExpression& entry, const std::string& where,
                                       double least, double most) {
  const std::optional<double> value = ParseNumber(entry.Atom(1));
  if (!value || *value < least || *value > most) {
    return PolicyError{PolicyErrorKind::kOutOfRange, PathOf(where, entry),
                       Decimal(least) + " to " + Decimal(most) + ": '" + entry.Atom(1) + "'"};
  }
  return *value;
}

Result<double, PolicyError> ReadWhole(const SExpression& entry, const std::string& where,
                                      double least, double most) {
  BOOST_OUTCOME_TRY(value, ReadNumber(entry, where, least, most));
  if (value != std::floor(value)) {
    return PolicyError{PolicyErrorKind::kNotWhole, PathOf(where, entry)};
  }
  return value;
}

// Calls `visit` for each list in the section, from the element `from` on, until one fails.
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
  const bool share = !text.empty() && text.back() == '%';
  if (share) text.pop_back();
  const std::optional<double> amount = ParseNumber(text);
  if (!amount || *amount < 0 || (share ? *amount > 100 : *amount > kMostTasks)) {
    return PolicyError{PolicyErrorKind::kInvalidLimit, where, entry.Atom(1)};
  }
  if (!share && *amount != std::floor(*amount)) {
    return PolicyError{PolicyErrorKind::kNotWholeReplicas, where};
  }
  DownLimit limit;
  limit.unit = share ? DownLimit::Unit::kShare : DownLimit::Unit::kReplicas;
  limit.amount = share ? *amount / 100 : *amount;
  if (entry.size() > 2) {
    if (entry.Atom(2) != "at-least-one" || !share) {
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
    budget->down = down;
    return Success();
  }
  if (entry.Name() == "stopped") {
    BOOST_OUTCOME_TRY(stopped, ReadWhole(entry, where, 0, kMostTasks));
    budget->stopped = static_cast<uint32_t>(stopped);
    return Success();
  }
  return UnknownEntry(where, entry);
}

// (default (down ...))
Check ReadDefaultBudget(const SExpression& entry, DisruptionPolicy* policy) {
  return ForEachList(entry, 1, "default", [policy](const SExpression& limit) -> Check {
    if (limit.Name() != "down") return UnknownEntry("default", limit);
    BOOST_OUTCOME_TRY(down, ReadDown(limit, "default"));
    policy->default_down = down;
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
  const bool of_class = entry.Name() == "class";
  if (entry.Name() != "team" && !of_class) return UnknownEntry("budgets", entry);
  DisruptionBudget budget;
  budget.team = entry.Atom(1);
  if (of_class) budget.job_class = entry.Atom(2);
  if (budget.team.empty() || (of_class && budget.job_class.empty())) {
    return PolicyError{PolicyErrorKind::kMissingName, PathOf("budgets", entry)};
  }
  std::string where = "budget of " + budget.team;
  if (of_class) where += " " + budget.job_class;
  if (HasBudgetFor(*policy, budget)) return PolicyError{PolicyErrorKind::kDuplicate, where};
  const int first_limit = of_class ? 3 : 2;
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

// One of the criteria of a drain. False: the entry is none.
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
    BOOST_OUTCOME_TRY(deadline_s, ReadNumber(entry, where, 0, kMostSeconds));
    drain->deadline_s = deadline_s;
    return Success();
  }
  if (entry.Name() == "paused") {
    drain->paused = true;
    return Success();
  }
  return UnknownEntry(where, entry);
}

// A drain of all machines is asked for in so many words.
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
  if (drain.name.empty() || drain.name.size() > kLongestName) {
    return PolicyError{PolicyErrorKind::kInvalidDrainName, "drain"};
  }
  const std::string where = "drain " + drain.name;
  if (policy->Find(drain.name) != nullptr) return PolicyError{PolicyErrorKind::kDuplicate, where};
  if (policy->drains.size() >= kMostDrains) {
    return PolicyError{PolicyErrorKind::kTooManyDrains, "drains"};
  }
  BOOST_OUTCOME_TRYV(ForEachList(entry, 2, where, [&](const SExpression& part) {
    return ReadDrainEntry(part, where, &drain);
  }));
  BOOST_OUTCOME_TRYV(CheckSelection(drain.machines, where));
  policy->drains.push_back(std::move(drain));
  return Success();
}

// A limit of evictions: a number of seconds, or a count.
struct LimitField {
  const char* name;
  double EvictionLimits::*seconds;  // null: a count
  uint32_t EvictionLimits::*count;  // null: seconds
  double least;
  double most;
};

constexpr LimitField kLimitFields[] = {
    {"settle-s", &EvictionLimits::settle_s, nullptr, 0, 3600},
    {"replace-within-s", &EvictionLimits::replace_within_s, nullptr, 1, 86400},
    {"image-wait-s", &EvictionLimits::image_wait_s, nullptr, 0, 86400},
    {"window-s", &EvictionLimits::window_s, nullptr, 1, 86400},
    {"at-once", nullptr, &EvictionLimits::max_evictions, 1, 1000},
    {"replacement-tries", nullptr, &EvictionLimits::replacement_tries, 1, 100}};

Check ReadLimit(const SExpression& entry, EvictionLimits* limits) {
  const std::string where = "steps";
  const std::string name = entry.Name();
  for (const LimitField& field : kLimitFields) {
    if (name != field.name) continue;
    if (field.seconds != nullptr) {
      BOOST_OUTCOME_TRY(seconds, ReadNumber(entry, where, field.least, field.most));
      limits->*(field.seconds) = seconds;
    } else {
      BOOST_OUTCOME_TRY(count, ReadWhole(entry, where, field.least, field.most));
      limits->*(field.count) = static_cast<uint32_t>(count);
    }
    return Success();
  }
  return UnknownEntry(where, entry);
}

// Sets the revision, or adds what the section has.
Check ReadSection(const SExpression& section, DisruptionPolicy* policy) {
  const std::string name = section.Name();
  if (name == "revision") {
    BOOST_OUTCOME_TRY(revision, ReadWhole(section, "disruption", 1, kMostRevision));
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
      return ReadLimit(entry, &policy->times);
    });
  }
  return UnknownEntry("disruption", section);
}

// What is wrong, without the place.
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
    case PolicyErrorKind::kNotWhole:
      return "not a whole number";
    case PolicyErrorKind::kInvalidLimit:
      return "neither a number of replicas nor a share up to 100%: '" + error.detail + "'";
    case PolicyErrorKind::kNotWholeReplicas:
      return "not a whole number of replicas";
    case PolicyErrorKind::kMisplacedAtLeastOne:
      return "only at-least-one may follow, and only a share";
    case PolicyErrorKind::kMissingName:
      return "a name is missing";
    case PolicyErrorKind::kInvalidDrainName:
      return "a name of 1 to " + std::to_string(kLongestName) + " bytes is missing";
    case PolicyErrorKind::kDuplicate:
      return "given twice";
    case PolicyErrorKind::kTooManyDrains:
      return "more than " + std::to_string(kMostDrains);
    case PolicyErrorKind::kNotNetwork:
      return "not an IPv4 network like 10.1.4.0/24: '" + error.detail + "'";
    case PolicyErrorKind::kNoSelection:
      return "names no machine, type, zone or network; all machines: (everything)";
    case PolicyErrorKind::kConflictingSelection:
      return "(everything) goes with no other selection";
    case PolicyErrorKind::kMissingRevision:
      return "a revision is missing";
    case PolicyErrorKind::kUnknownTeam:
      return "no such team: " + error.detail;
    case PolicyErrorKind::kUnknownZone:
      return "no such zone: " + error.detail;
    case PolicyErrorKind::kUnreadableFile:
      return "can't be read";
    case PolicyErrorKind::kTooLarge:
      return "takes " + std::to_string(error.bytes) +
             " bytes, but a value of the state service holds " + std::to_string(error.max_bytes);
  }
  return "";
}

}  // namespace

uint64_t DownLimit::Of(uint64_t replicas) const {
  if (unit == Unit::kReplicas) return static_cast<uint64_t>(amount);
  // A share of a whole number may lie just below it by rounding: 0.29 of 100.
  constexpr double kRounding = 1e-9;
  const auto most =
      static_cast<uint64_t>(std::floor(amount * static_cast<double>(replicas) + kRounding));
  return most == 0 && at_least_one ? 1 : most;
}

bool MachineSelector::MayMatch(const std::string& machine_type,
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
  // One that was read is 1 or more.
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
