// What operators want drained, and how much may be down meanwhile: the typed form of the
// disruption file.
//
// A policy that was read is consistent in itself; CheckPolicy tells whether it goes with the
// platform's settings. It is shared and never changed once it is in force.
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

// How many replicas may be down at the same time.
struct DownLimit {
  enum class Unit { kReplicas, kShare };
  Unit unit = Unit::kReplicas;
  double amount = 1;          // replicas, or a share from 0 to 1
  bool at_least_one = false;  // a share that rounds down to nothing still allows one

  // The limit for a team that has so many replicas.
  uint64_t Of(uint64_t replicas) const;
};

// Limits for a team, or for one class of its jobs. Several that apply hold together.
struct DisruptionBudget {
  std::string team;
  std::string job_class;  // empty: all of the team's
  std::optional<DownLimit> down;
  // Tasks of arrays that may be lost or stopped within EvictionLimits::window_s.
  std::optional<uint32_t> stopped;
};

// Which machines a drain is about. All criteria that are given must hold; names are one of
// them, and match any of the listed ones.
struct MachineSelector {
  std::vector<std::string> names;
  std::string type;
  std::string zone;
  std::optional<boost::asio::ip::network_v4> network;
  bool everything = false;

  // Whether the drain is about all machines of that type and zone, those to come included.
  bool MayMatch(const std::string& machine_type, const std::string& machine_zone) const;
  bool Matches(const std::string& name, const std::string& machine_type,
               const std::string& machine_zone, const std::string& endpoint) const;
};

struct DrainRequest {
  std::string name;
  MachineSelector machines;
  // Counted from when the drain was first taken up; none: arrays end by themselves.
  std::optional<double> deadline_s;
  bool paused = false;
};

// Times and bounds of steps.
struct EvictionLimits {
  double settle_s = 10;            // a replacement has run for so long before it counts
  double replace_within_s = 120;   // a step that takes longer is tried elsewhere
  double image_wait_s = 20;        // after it, a place without the image will do
  double window_s = 300;           // over which stopped tasks of arrays are counted
  uint32_t max_evictions = 64;     // in flight, over all drains
  uint32_t replacement_tries = 3;  // after them a step is left to the ordinary placement
};

struct DisruptionPolicy {
  uint64_t revision = 0;
  DownLimit default_down;  // for teams without a budget of their own
  std::vector<DisruptionBudget> budgets;
  std::vector<DrainRequest> drains;
  EvictionLimits times;
  std::string text;  // as it was read

  const DrainRequest* Find(const std::string& drain) const;
};

enum class PolicyErrorKind {
  kNotSExpression,
  kWrongRoot,  // another file, perhaps
  kNotList,
  kUnknownEntry,
  kMissingValue,
  kOutOfRange,  // a number
  kNotWhole,
  kInvalidLimit,  // of replicas that are down
  kNotWholeReplicas,
  kMisplacedAtLeastOne,
  kMissingName,
  kInvalidDrainName,
  kDuplicate,
  kTooManyDrains,
  kNotNetwork,
  kNoSelection,           // a drain names no machines
  kConflictingSelection,  // a drain names all machines and some
  kMissingRevision,
  kUnknownTeam,
  kUnknownZone,
  kUnreadableFile,
  kTooLarge,  // for a value of the state service
};

// Why a policy can't be used.
struct PolicyError {
  PolicyErrorKind kind;
  std::string where = {};        // the entry of the file; empty: the whole of it
  std::string detail = {};       // the unusable part
  SExpressionError syntax = {};  // of kNotSExpression
  size_t bytes = 0;              // of kTooLarge: the stored form
  size_t max_bytes = 0;          // of kTooLarge
};

// The error in one line, for operators.
std::string DescribeError(const PolicyError& error);

// Reads the text of the disruption file. A policy that was read has a revision above 0.
Result<DisruptionPolicy, PolicyError> ReadPolicy(const std::string& text);

// Checks what only the platform's settings tell: teams and zones.
Result<void, PolicyError> CheckPolicy(const DisruptionPolicy& policy, const Settings& settings);

}  // namespace deckhall
