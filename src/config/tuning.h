// The operators' tuning: an S-expression file (deckhall (section (name "value") ...) ...).
//
// Missing values keep their defaults, and unknown names are ignored. In a Tuning that was read
// successfully all values are within their bounds and consistent: the leader's lease outlives a
// missed renewal. The file is read once at start-up; the tuning is constant from then on.
#pragma once

#include <string>
#include <vector>

#include "common/result.h"
#include "config/sexpression.h"

namespace deckhall {

// Names end in the unit. The help texts of TuningFields() describe the values.
struct Tuning {
  // leader
  double lease_ms = 1000;
  double keep_alive_ms = 200;
  // rank
  double refresh_s = 5;
  double progress_save_s = 5;
  double weight_idle = 1;
  double weight_normal = 2;
  double weight_urgent = 4;
  double weight_production = 8;
  double delay_fetches = 1;
  double starvation_s = 120;
  double preempt_after_s = 3;
  double gang_reserve_s = 1;
  double gang_long_fetch_s = 8;
  double long_fetch_s = 1;
  double preempt_for_image = 4;
  // fleet
  double silent_after_s = 5;
  double probe_interval_s = 1;
  double quick_death_s = 2.2;
  double death_s = 6.5;
  double partition_death_s = 14;
  double failover_wait_s = 4;
  double one_way_death_s = 8;
  double worker_call_ms = 0.15;
  double probe_share = 0.2;
  double command_share = 0.4;
  // capacity
  double autoscale_interval_s = 1;
  double idle_spot_boots = 0.1;
  double idle_ordinary_boots = 0.15;
  double backlog_drain_s = 25;
  double image_locality_wait_s = 8;
  double headroom_reserved_share = 0.4;
  double headroom_machines = 1;
  double headroom_boots = 1;
  double headroom_share = 0.05;
  double settled_s = 30;
  double consolidation_spare_share = 0.2;
  double late_boot_factor = 1.8;
  double give_up_boot_factor = 4;
};

// One tuning value: its name in the file and its bounds.
struct TuningField {
  const char* section;
  const char* name;        // as in the file
  double Tuning::*member;  // stores the value
  double min_value;
  double max_value;
  const char* help;  // for operators
};

// All tuning values, in the order of the operations manual.
const std::vector<TuningField>& TuningFields();

enum class TuningErrorKind {
  kNotSExpression,
  kWrongRoot,  // perhaps a file of another kind
  kSectionNotList,
  kEntryNotList,            // in `section`
  kOutOfRange,              // `field` is not a number or out of bounds
  kRenewalIntervalTooLong,  // the leader's lease would expire after one missed renewal
  kLateBootExceedsGiveUpBoot,
};

// The reason why a text is not a valid tuning file.
struct TuningError {
  TuningErrorKind kind;
  SExpressionError syntax = {};        // for kNotSExpression
  std::string section = {};            // for kEntryNotList
  const TuningField* field = nullptr;  // for kOutOfRange
};

// The error in one line, for operators.
std::string DescribeError(const TuningError& error);

// Reads and checks the text of the file.
Result<Tuning, TuningError> ReadTuning(const std::string& text);

}  // namespace deckhall
