// The operators' own settings: an S-expression file.
#pragma once

#include <string>
#include <vector>

namespace deckhall {

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

struct TuningField {
  const char* section;
  const char* name;
  double Tuning::*member;
  double least;
  double most;
  const char* help;
};

const std::vector<TuningField>& TuningFields();

// Returns the reason why the text is no tuning, or an empty string.
std::string ReadTuning(const std::string& text, Tuning* out);

}  // namespace deckhall
