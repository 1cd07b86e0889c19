#include "drain/policy.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <cmath>
#include <functional>
#include <set>

#include "config/sexpression.h"

namespace deckhall {
namespace {

constexpr double kMostSeconds = 10 * 365 * 86400.0;
constexpr double kMostTasks = 1e6;
constexpr double kMostRevision = 9e15;
constexpr size_t kLongestName = 60;
constexpr size_t kMostDrains = 200;

// Where a reason for refusal goes; the first one stays.
class Reader {
 public:
  bool ok() const { return reason_.empty(); }
  const std::string& reason() const { return reason_; }
  void Fail(const std::string& where, const std::string& what) {
    if (ok()) reason_ = where + ": " + what;
  }

  // The only value of an entry such as (name "value").
  std::string Value(const SExpression& entry, const std::string& where) {
    std::string value = entry.Atom(1);
    if (entry.size() < 2 || value.empty()) Fail(where + " " + entry.Name(), "a value is missing");
    return value;
  }

  double Number(const SExpression& entry, const std::string& where, double least, double most) {
    const std::optional<double> value = ParseNumber(entry.Atom(1));
    if (!value || *value < least || *value > most) {
      Fail(where + " " + entry.Name(), "not a number from " + Decimal(least) + " to " +
                                           Decimal(most) + ": '" + entry.Atom(1) + "'");
      return least;
    }
    return *value;
  }

  double Whole(const SExpression& entry, const std::string& where, double least, double most) {
    const double value = Number(entry, where, least, most);
    if (value != std::floor(value)) Fail(where + " " + entry.Name(), "not a whole number");
    return value;
  }

  // Calls `visit` for each list in the section, from the element `from` on.
  void ForEach(const SExpression& section, int from, const std::string& where,
               const std::function<void(const SExpression&)>& visit) {
    for (int i = from; i < section.size() && ok(); ++i) {
      const std::optional<SExpression> entry = section.List(i);
      if (!entry) {
        Fail(where, "not a list: '" + section.Atom(i) + "'");
        return;
      }
      visit(*entry);
    }
  }

 private:
  static std::string Decimal(double value) {
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') text.pop_back();
    return text;
  }

  std::string reason_;
};

// (down "2"), (down "10%"), (down "10%" at-least-one)
DownLimit ReadDown(const SExpression& entry, const std::string& where, Reader* reader) {
  DownLimit limit;
  std::string text = entry.Atom(1);
  limit.unit = DownLimit::Unit::kReplicas;
  const bool share = !text.empty() && text.back() == '%';
  if (share) text.pop_back();
  const std::optional<double> amount = ParseNumber(text);
  if (!amount || *amount < 0 || (share ? *amount > 100 : *amount > kMostTasks)) {
    reader->Fail(where + " down",
                 "neither a number of replicas nor a share up to 100%: '" + entry.Atom(1) + "'");
    return limit;
  }
  if (!share && *amount != std::floor(*amount)) {
    reader->Fail(where + " down", "not a whole number of replicas");
  }
  if (share) limit.unit = DownLimit::Unit::kShare;
  limit.amount = share ? *amount / 100 : *amount;
  if (entry.size() > 2) {
    if (entry.Atom(2) != "at-least-one" || !share) {
      reader->Fail(where + " down", "only at-least-one may follow, and only a share");
    }
    limit.at_least_one = true;
  }
  return limit;
}

void ReadBudgetEntry(const SExpression& entry, const std::string& where, DisruptionBudget* budget,
                     Reader* reader) {
  if (entry.Name() == "down") {
    budget->down = ReadDown(entry, where, reader);
  } else if (entry.Name() == "stopped") {
    budget->stopped = static_cast<uint32_t>(reader->Whole(entry, where, 0, kMostTasks));
  } else {
    reader->Fail(where, "unknown entry '" + entry.Name() + "'");
  }
}

// (team "name" (down ...) (stopped ...)) or (class "team" "class" (down ...) ...)
void ReadBudget(const SExpression& entry, DisruptionPolicy* out, Reader* reader) {
  if (entry.Name() == "default") {
    reader->ForEach(entry, 1, "default", [&](const SExpression& expression) {
      if (expression.Name() != "down")
        reader->Fail("default", "unknown entry '" + expression.Name() + "'");
      out->default_down = ReadDown(expression, "default", reader);
    });
    return;
  }
  const bool of_class = entry.Name() == "class";
  if (entry.Name() != "team" && !of_class) {
    reader->Fail("budgets", "unknown entry '" + entry.Name() + "'");
    return;
  }
  DisruptionBudget budget;
  budget.team = entry.Atom(1);
  if (of_class) budget.job_class = entry.Atom(2);
  if (budget.team.empty() || (of_class && budget.job_class.empty())) {
    reader->Fail("budgets " + entry.Name(), "a name is missing");
    return;
  }
  std::string where = "budget of " + budget.team;
  if (of_class) where += " " + budget.job_class;
  const bool twice = std::any_of(
      out->budgets.begin(), out->budgets.end(), [&budget](const DisruptionBudget& other) {
        return other.team == budget.team && other.job_class == budget.job_class;
      });
  if (twice) reader->Fail(where, "given twice");
  reader->ForEach(entry, of_class ? 3 : 2, where, [&](const SExpression& expression) {
    ReadBudgetEntry(expression, where, &budget, reader);
  });
  out->budgets.push_back(std::move(budget));
}

std::optional<boost::asio::ip::network_v4> ReadNetwork(const std::string& text) {
  boost::system::error_code error;
  const auto network = boost::asio::ip::make_network_v4(text, error);
  if (error) return std::nullopt;
  return network.canonical();
}

void ReadDrainEntry(const SExpression& entry, const std::string& where, DrainRequest* drain,
                    Reader* reader) {
  const std::string name = entry.Name();
  if (name == "machine") {
    drain->machines.names.push_back(reader->Value(entry, where));
  } else if (name == "type") {
    drain->machines.type = reader->Value(entry, where);
  } else if (name == "zone") {
    drain->machines.zone = reader->Value(entry, where);
  } else if (name == "network") {
    drain->machines.network = ReadNetwork(entry.Atom(1));
    if (!drain->machines.network) {
      reader->Fail(where + " network",
                   "not an IPv4 network like 10.1.4.0/24: '" + entry.Atom(1) + "'");
    }
  } else if (name == "everything") {
    drain->machines.everything = true;
  } else if (name == "deadline-s") {
    drain->deadline_s = reader->Number(entry, where, 0, kMostSeconds);
  } else if (name == "paused") {
    drain->paused = true;
  } else {
    reader->Fail(where, "unknown entry '" + name + "'");
  }
}

void ReadDrain(const SExpression& entry, DisruptionPolicy* out, Reader* reader) {
  if (entry.Name() != "drain") {
    reader->Fail("drains", "unknown entry '" + entry.Name() + "'");
    return;
  }
  DrainRequest drain;
  drain.name = entry.Atom(1);
  if (drain.name.empty() || drain.name.size() > kLongestName) {
    reader->Fail("drain", "a name of 1 to " + std::to_string(kLongestName) + " bytes is missing");
    return;
  }
  const std::string where = "drain " + drain.name;
  if (out->Find(drain.name) != nullptr) reader->Fail(where, "given twice");
  if (out->drains.size() >= kMostDrains) {
    reader->Fail("drains", "more than " + std::to_string(kMostDrains));
  }
  reader->ForEach(entry, 2, where, [&](const SExpression& expression) {
    ReadDrainEntry(expression, where, &drain, reader);
  });
  const MachineSelector& m = drain.machines;
  const bool some = !m.names.empty() || !m.type.empty() || !m.zone.empty() || m.network;
  if (!some && !m.everything) {
    reader->Fail(where, "names no machine, type, zone or network; all machines: (everything)");
  }
  if (some && m.everything) reader->Fail(where, "(everything) goes with no other selection");
  out->drains.push_back(std::move(drain));
}

void ReadTime(const SExpression& entry, EvictionLimits* times, Reader* reader) {
  const std::string where = "steps";
  const std::string name = entry.Name();
  if (name == "settle-s") {
    times->settle_s = reader->Number(entry, where, 0, 3600);
  } else if (name == "replace-within-s") {
    times->replace_within_s = reader->Number(entry, where, 1, 86400);
  } else if (name == "image-wait-s") {
    times->image_wait_s = reader->Number(entry, where, 0, 86400);
  } else if (name == "window-s") {
    times->window_s = reader->Number(entry, where, 1, 86400);
  } else if (name == "at-once") {
    times->max_evictions = static_cast<uint32_t>(reader->Whole(entry, where, 1, 1000));
  } else if (name == "replacement-tries") {
    times->replacement_tries = static_cast<uint32_t>(reader->Whole(entry, where, 1, 100));
  } else {
    reader->Fail(where, "unknown entry '" + name + "'");
  }
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

std::string ReadPolicy(const std::string& text, DisruptionPolicy* out) {
  *out = DisruptionPolicy();
  out->text = text;
  const auto root = SExpression::Parse(text);
  if (!root.has_value()) return DescribeError(root.error());
  if (root.value().Name() != "disruption") return "does not begin with (disruption";
  Reader reader;
  bool has_revision = false;
  reader.ForEach(root.value(), 1, "disruption", [&](const SExpression& section) {
    if (section.Name() == "revision") {
      out->revision = static_cast<uint64_t>(reader.Whole(section, "disruption", 1, kMostRevision));
      has_revision = true;
    } else if (section.Name() == "budgets") {
      reader.ForEach(section, 1, "budgets",
                     [&](const SExpression& expression) { ReadBudget(expression, out, &reader); });
    } else if (section.Name() == "drains") {
      reader.ForEach(section, 1, "drains",
                     [&](const SExpression& expression) { ReadDrain(expression, out, &reader); });
    } else if (section.Name() == "steps") {
      reader.ForEach(section, 1, "steps", [&](const SExpression& expression) {
        ReadTime(expression, &out->times, &reader);
      });
    } else {
      reader.Fail("disruption", "unknown entry '" + section.Name() + "'");
    }
  });
  if (reader.ok() && !has_revision) reader.Fail("disruption", "a revision is missing");
  return reader.reason();
}

std::string CheckPolicy(const DisruptionPolicy& policy, const Settings& settings) {
  for (const DisruptionBudget& budget : policy.budgets) {
    const bool known =
        std::any_of(settings.teams.begin(), settings.teams.end(),
                    [&budget](const Team& team) { return team.name == budget.team; });
    if (!known) return "budgets: no such team: " + budget.team;
  }
  const std::set<std::string> zones(settings.zones.begin(), settings.zones.end());
  for (const DrainRequest& drain : policy.drains) {
    const std::string& zone = drain.machines.zone;
    if (!zone.empty() && !zones.contains(zone)) {
      return "drain " + drain.name + ": no such zone: " + zone;
    }
  }
  return "";
}

}  // namespace deckhall
