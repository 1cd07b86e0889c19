// The disruption policy: which machines operators drain, and how many replicas and array tasks may
// be disrupted meanwhile. It is parsed from the disruption file.
//
// ReadPolicy returns only policies that are consistent in themselves; CheckPolicy validates them
// against the platform's settings. A policy in force is shared and immutable.
#pragma once

#include <boost/asio/ip/network_v4.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/result.h"
#include "config/settings.h"
#include "config/sexpression.h"

namespace deckhall {

// How many replicas may be unavailable at the same time.
struct DownLimit {
  enum class Unit { kReplicas, kShare };
  Unit unit = Unit::kReplicas;
  double amount = 1;          // number of replicas, or a share from 0 to 1
  bool at_least_one = false;  // a share that rounds down to 0 allows 1 replica

  // Returns the limit for a team with this number of replicas.
  uint64_t MaxDown(uint64_t replicas) const;
};

// Limits for a team, or for one class of its jobs. A job must satisfy every budget that applies to
// it.
struct DisruptionBudget {
  std::string team;
  std::string job_class;  // all classes of the team if empty
  std::optional<DownLimit> down_limit;
  // Array tasks that may be lost or stopped within EvictionLimits::stop_window_s.
  std::optional<uint32_t> max_stopped_tasks;
};

// Selects the machines of a drain. A machine must satisfy all given criteria; `names` is satisfied
// by any of the listed names.
struct MachineSelector {
  std::vector<std::string> names;
  std::string type;
  std::string zone;
  std::optional<boost::asio::ip::network_v4> network;
  bool everything = false;

  // Whether the criteria are only a type, a zone or both, and cover this type and zone: then every
  // present and future machine of that type and zone matches.
  bool CoversPool(const std::string& machine_type, const std::string& machine_zone) const;
  bool Matches(const std::string& name, const std::string& machine_type,
               const std::string& machine_zone, const std::string& endpoint) const;
};

struct DrainRequest {
  std::string name;
  MachineSelector machines;
  // Counted from the start of the drain; array tasks are never stopped if unset.
  std::optional<double> deadline_s;
  bool paused = false;
};

// Time limits and bounds of evictions.
struct EvictionLimits {
  double settle_s = 10;  // a replica counts as available once it has run for this long
  // A replacement that is not available by then is tried on another machine.
  double replacement_timeout_s = 120;
  double image_wait_s = 20;     // after it, a machine that has to fetch the image is accepted
  double stop_window_s = 300;   // period over which stopped array tasks are counted
  uint32_t max_evictions = 64;  // in flight, over all drains
  // Time-outs after which the eviction is given up and regular placement takes over.
  uint32_t max_replacement_attempts = 3;
};

struct DisruptionPolicy {
  uint64_t revision = 0;
  DownLimit default_down_limit;  // for teams without a budget of their own
  std::vector<DisruptionBudget> budgets;
  std::vector<DrainRequest> drains;
  EvictionLimits eviction_limits;
  std::string text;  // of the disruption file, unmodified

  const DrainRequest* Find(const std::string& drain) const;
};

enum class PolicyErrorKind {
  kNotSExpression,
  kWrongRoot,  // probably another kind of file
  kNotList,
  kUnknownEntry,
  kMissingValue,
  kOutOfRange,  // not a number, or not in its range
  kNotInteger,
  kInvalidLimit,  // not a valid DownLimit
  kFractionalReplicas,
  kMisplacedAtLeastOne,
  kMissingName,
  kInvalidDrainName,
  kDuplicate,
  kTooManyDrains,
  kNotNetwork,
  kNoSelection,           // a drain has no criteria
  kConflictingSelection,  // (everything) together with other criteria
  kMissingRevision,
  kUnknownTeam,
  kUnknownZone,
  kUnreadableFile,
  kTooLarge,  // the encoded policy exceeds the value limit of the state service
};

// Why a policy was rejected.
struct PolicyError {
  PolicyErrorKind kind;
  std::string where = {};        // path of the entry; the whole file if empty
  std::string detail = {};       // the invalid text or name, or the allowed range
  SExpressionError syntax = {};  // of kNotSExpression
  size_t bytes = 0;              // of kTooLarge: size of the encoded policy
  size_t max_bytes = 0;          // of kTooLarge: the limit
};

// Returns a one-line error message for operators.
std::string DescribeError(const PolicyError& error);

// Parses the text of the disruption file. The revision of the result is at least 1.
Result<DisruptionPolicy, PolicyError> ReadPolicy(const std::string& text);

// Checks that the teams and zones of the policy exist in the platform's settings.
Result<void, PolicyError> CheckPolicy(const DisruptionPolicy& policy, const Settings& settings);

}  // namespace deckhall
