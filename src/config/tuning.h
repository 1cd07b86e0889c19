// The operators' own settings: an S-expression file (deckhall (section (name "value") ...) ...).
//
// What the file leaves out keeps its default, and unknown names are ignored. A Tuning that was
// read is within the bounds of its fields, and consistent: the leader's lease outlives a missed
// renewal. Read once, at the start, and constant from then on.
#pragma once

#include <string>
#include <vector>

#include "common/result.h"
#include "config/sexpression.h"

namespace deckhall {

// Names end in the unit; TuningFields() says what each one does.
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
  double patient_s = 8;
  double headroom_reserved_share = 0.4;
  double headroom_machines = 1;
  double headroom_boots = 1;
  double headroom_share = 0.05;
  double settled_s = 30;
  double consolidate_spare = 0.2;
  double late_boot = 1.8;
  double give_up_boot = 4;
};

// One setting: where it stands in the file, and what it may be.
struct TuningField {
  const char* section;
  const char* name;        // in the file
  double Tuning::*member;  // where it goes
  double least;
  double most;
  const char* help;  // for operators
};

// All settings, in the order of the operators' page.
const std::vector<TuningField>& TuningFields();

enum class TuningErrorKind {
  kNotSExpression,
  kWrongRoot,  // another file, perhaps
  kSectionNotList,
  kEntryNotList,    // in `section`
  kOutOfRange,      // `field` is no number, or beyond its bounds
  kRenewalTooSlow,  // one missed renewal would lose the leader's lease
  kLateBootAfterGivingUp,
};

// Why a text is no tuning.
struct TuningError {
  TuningErrorKind kind;
  SExpressionError syntax = {};        // of kNotSExpression
  std::string section = {};            // of kEntryNotList
  const TuningField* field = nullptr;  // of kOutOfRange
};

// The error in one line, for operators.
std::string DescribeError(const TuningError& error);

// Reads and checks the text of the file.
Result<Tuning, TuningError> ReadTuning(const std::string& text);

}  // namespace deckhall
