#include "config/tuning.h"

#include <boost/outcome/try.hpp>
#include <optional>

namespace deckhall {
namespace {

const TuningField* FindField(const std::string& section, const std::string& name) {
  for (const TuningField& field : TuningFields()) {
    if (section == field.section && name == field.name) return &field;
  }
  return nullptr;
}

Result<void, TuningError> ReadEntry(const std::string& section, const SExpression& entry,
                                    Tuning* tuning) {
  const TuningField* field = FindField(section, entry.Name());
  if (field == nullptr) return Success();  // ignored, as in the platform's file
  const std::optional<double> value = ParseNumber(entry.Atom(1));
  if (!value || *value < field->least || *value > field->most) {
    return TuningError{.kind = TuningErrorKind::kOutOfRange, .field = field};
  }
  tuning->*(field->member) = *value;
  return Success();
}

Result<void, TuningError> ReadSection(const SExpression& section, Tuning* tuning) {
  const std::string name = section.Name();
  for (int i = 1; i < section.size(); ++i) {
    const std::optional<SExpression> entry = section.List(i);
    if (!entry) return TuningError{.kind = TuningErrorKind::kEntryNotList, .section = name};
    BOOST_OUTCOME_TRYV(ReadEntry(name, *entry, tuning));
  }
  return Success();
}

Result<void, TuningError> CheckConsistency(const Tuning& tuning) {
  if (tuning.keep_alive_ms * 2 > tuning.lease_ms) {
    return TuningError{.kind = TuningErrorKind::kRenewalTooSlow};
  }
  if (tuning.late_boot > tuning.give_up_boot) {
    return TuningError{.kind = TuningErrorKind::kLateBootAfterGivingUp};
  }
  return Success();
}

std::string DescribeRange(const TuningField& field) {
  std::string text = field.section;
  text.append(" ").append(field.name).append(": not a number from ");
  text.append(std::to_string(field.least)).append(" to ").append(std::to_string(field.most));
  return text;
}

}  // namespace

const std::vector<TuningField>& TuningFields() {
  static const std::vector<TuningField> kFields = {
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
  return kFields;
}

std::string DescribeError(const TuningError& error) {
  switch (error.kind) {
    case TuningErrorKind::kNotSExpression:
      return DescribeError(error.syntax);
    case TuningErrorKind::kWrongRoot:
      return "does not begin with (deckhall";
    case TuningErrorKind::kSectionNotList:
      return "a section is not a list";
    case TuningErrorKind::kEntryNotList:
      return error.section + ": an entry is not a list";
    case TuningErrorKind::kOutOfRange:
      return DescribeRange(*error.field);
    case TuningErrorKind::kRenewalTooSlow:
      return "leader renew-ms: more than half of lease-ms";
    case TuningErrorKind::kLateBootAfterGivingUp:
      return "capacity late-boot: more than give-up-boot";
  }
  return "";
}

Result<Tuning, TuningError> ReadTuning(const std::string& text) {
  const auto root = SExpression::Parse(text);
  if (!root.has_value()) {
    return TuningError{.kind = TuningErrorKind::kNotSExpression, .syntax = root.error()};
  }
  if (root.value().Name() != "deckhall") return TuningError{.kind = TuningErrorKind::kWrongRoot};
  Tuning tuning;
  for (int i = 1; i < root.value().size(); ++i) {
    const std::optional<SExpression> section = root.value().List(i);
    if (!section) return TuningError{.kind = TuningErrorKind::kSectionNotList};
    BOOST_OUTCOME_TRYV(ReadSection(*section, &tuning));
  }
  BOOST_OUTCOME_TRYV(CheckConsistency(tuning));
  return tuning;
}

}  // namespace deckhall
