#include "config/tuning.h"

#include <optional>

#include "config/sexpression.h"

namespace deckhall {
namespace {

std::string SetField(const std::string& section, const SExpression& entry, Tuning* out) {
  const std::string name = entry.Name();
  for (const TuningField& field : TuningFields()) {
    if (section != field.section || name != field.name) continue;
    const std::optional<double> value = ParseNumber(entry.Atom(1));
    if (!value || *value < field.least || *value > field.most) {
      std::string reason = section;
      reason.append(" ").append(name).append(": not a number from ");
      reason.append(std::to_string(field.least)).append(" to ").append(std::to_string(field.most));
      return reason;
    }
    out->*(field.member) = *value;
    return "";
  }
  return "";  // unknown: ignored, as in the platform's file
}

}  // namespace

const std::vector<TuningField>& TuningFields() {
  static const std::vector<TuningField> fields = {
      {"leader", "lease-ms", &Tuning::lease_ms, 500, 60000, "leader's lease in the state service"},
      {"leader", "renew-ms", &Tuning::keep_alive_ms, 50, 30000, "time between its renewals"},
      {"rank", "refresh-s", &Tuning::refresh_s, 0.5, 60, "ranks are refreshed at least so often"},
      {"rank", "save-s", &Tuning::progress_save_s, 1, 300,
       "work left is written at least so often"},
      {"rank", "weight-idle", &Tuning::weight_idle, 0.01, 1000, "share of idle jobs"},
      {"rank", "weight-normal", &Tuning::weight_normal, 0.01, 1000, "share of normal jobs"},
      {"rank", "weight-urgent", &Tuning::weight_urgent, 0.01, 1000, "share of urgent jobs"},
      {"rank", "weight-production", &Tuning::weight_production, 0.01, 1000,
       "share of production arrays"},
      {"rank", "delay-fetches", &Tuning::delay_fetches, 0, 100,
       "so many fetch times an array waits for a machine that holds its image"},
      {"rank", "passed-over-s", &Tuning::starvation_s, 10, 100000,
       "a job none of whose tasks found a place for so long goes first once"},
      {"rank", "preempt-after-s", &Tuning::preempt_after_s, 0, 600,
       "a job within its guarantee waits so long before others' tasks are stopped for it"},
      {"rank", "gang-reserve-s", &Tuning::gang_reserve_s, 0, 600,
       "room is kept for a gang that has found none for so long"},
      {"rank", "gang-long-fetch-s", &Tuning::gang_long_fetch_s, 0, 100000,
       "for a gang whose fetch takes longer, tasks it may claim are stopped where the image is"},
      {"rank", "long-fetch-s", &Tuning::long_fetch_s, 0, 100000,
       "for a replica whose fetch takes longer, arrays are stopped where the image is"},
      {"rank", "stop-for-image", &Tuning::preempt_for_image, 0, 1000,
       "work lost for that at the most, in core-times of the fetch"},
      {"fleet", "silent-s", &Tuning::silent_after_s, 1, 600,
       "an idle machine silent for so long is probed, and gets nothing new"},
      {"fleet", "probe-s", &Tuning::probe_interval_s, 0.2, 600,
       "a machine with tasks that is silent for so long is probed"},
      {"fleet", "quick-lost-s", &Tuning::quick_death_s, 0.5, 600,
       "a machine silent for so long, and to two probes, is returned"},
      {"fleet", "lost-s", &Tuning::death_s, 1, 600,
       "the same when several machines are silent at once"},
      {"fleet", "lost-behind-cut-s", &Tuning::partition_death_s, 1, 600,
       "the same, for machines of a zone to which the way was blocked of late"},
      {"fleet", "takeover-wait-s", &Tuning::failover_wait_s, 1, 600,
       "a new leader waits so long for a machine's first sign"},
      {"fleet", "deaf-s", &Tuning::one_way_death_s, 1, 600,
       "a machine that reports, but answers nothing for so long, is returned"},
      {"fleet", "message-ms", &Tuning::worker_call_ms, 0.001, 100,
       "processor time of one question to a worker, for the budgets below"},
      {"fleet", "probe-share", &Tuning::probe_share, 0.001, 1,
       "part of the processor for asking after machines"},
      {"fleet", "direct-share", &Tuning::command_share, 0.01, 1,
       "part of the processor for commands sent straight to workers"},
      {"capacity", "plan-s", &Tuning::autoscale_interval_s, 0.2, 60, "time between plans"},
      {"capacity", "idle-spot-boots", &Tuning::idle_spot_boots, 0, 1000,
       "an idle spot machine is kept so long, in boot times"},
      {"capacity", "idle-ordinary-boots", &Tuning::idle_ordinary_boots, 0, 1000,
       "an idle ordinary machine is kept so long, in boot times"},
      {"capacity", "drain-s", &Tuning::backlog_drain_s, 1, 3600,
       "machines are rented so that waiting arrays are worked off in this time"},
      {"capacity", "patient-s", &Tuning::patient_s, 0, 3600,
       "services that waited so long may go where their image is missing"},
      {"capacity", "headroom-free", &Tuning::headroom_reserved_share, 0, 1,
       "part of the room for replicas that arrays may not borrow"},
      {"capacity", "headroom-machines", &Tuning::headroom_machines, 0, 100,
       "room kept for replicas, in machines lost"},
      {"capacity", "headroom-boots", &Tuning::headroom_boots, 0, 100,
       "room kept for replicas, in boot times of arrivals"},
      {"capacity", "headroom-share", &Tuning::headroom_share, 0, 1,
       "room kept for replicas, at least this part of what services use"},
      {"capacity", "settled-s", &Tuning::settled_s, 0, 3600,
       "machines and tasks younger than this are not moved"},
      {"capacity", "consolidate-spare", &Tuning::consolidate_spare, 0, 1000,
       "room beyond the reserve, in parts of it, before a machine is emptied"},
      {"capacity", "late-boot", &Tuning::late_boot, 1, 20,
       "boots longer than this, in nominal times, are no longer counted on"},
      {"capacity", "give-up-boot", &Tuning::give_up_boot, 1, 100,
       "boots longer than this, in nominal times, are given up"},
  };
  return fields;
}

std::string ReadTuning(const std::string& text, Tuning* out) {
  std::string bad;
  const std::optional<SExpression> root = SExpression::Parse(text, &bad);
  if (!root) return bad;
  if (root->Name() != "deckhall") return "does not begin with (deckhall";
  for (int i = 1; i < root->size(); ++i) {
    const std::optional<SExpression> section = root->List(i);
    if (!section) return "a section is not a list";
    const std::string name = section->Name();
    for (int k = 1; k < section->size(); ++k) {
      const std::optional<SExpression> entry = section->List(k);
      if (!entry) return name + ": an entry is not a list";
      bad = SetField(name, *entry, out);
      if (!bad.empty()) return bad;
    }
  }
  if (out->keep_alive_ms * 2 > out->lease_ms) return "leader renew-ms: more than half of lease-ms";
  if (out->late_boot > out->give_up_boot) return "capacity late-boot: more than give-up-boot";
  return "";
}

}  // namespace deckhall
