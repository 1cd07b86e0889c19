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
  if (field == nullptr) return Success();  // unknown names are ignored, as in the settings
  const std::optional<double> value = ParseNumber(entry.Atom(1));
  if (!value || *value < field->min_value || *value > field->max_value) {
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
    return TuningError{.kind = TuningErrorKind::kRenewalIntervalTooLong};
  }
  if (tuning.late_boot_factor > tuning.give_up_boot_factor) {
    return TuningError{.kind = TuningErrorKind::kLateBootExceedsGiveUpBoot};
  }
  return Success();
}

std::string DescribeRange(const TuningField& field) {
  std::string text = field.section;
  text.append(" ").append(field.name).append(": not a number from ");
  text.append(std::to_string(field.min_value))
      .append(" to ")
      .append(std::to_string(field.max_value));
  return text;
}

}  // namespace

const std::vector<TuningField>& TuningFields() {
  static const std::vector<TuningField> kFields = {
      {"leader", "lease-ms", &Tuning::lease_ms, 500, 60000, "TTL of the leader's lease"},
      {"leader", "renew-ms", &Tuning::keep_alive_ms, 50, 30000, "interval of lease renewals"},
      {"rank", "refresh-s", &Tuning::refresh_s, 0.5, 60, "maximum age of the ranks"},
      {"rank", "save-s", &Tuning::progress_save_s, 1, 300, "maximum age of saved remaining work"},
      {"rank", "weight-idle", &Tuning::weight_idle, 0.01, 1000, "weight of idle jobs"},
      {"rank", "weight-normal", &Tuning::weight_normal, 0.01, 1000, "weight of normal jobs"},
      {"rank", "weight-urgent", &Tuning::weight_urgent, 0.01, 1000, "weight of urgent jobs"},
      {"rank", "weight-production", &Tuning::weight_production, 0.01, 1000,
       "weight of production arrays"},
      {"rank", "delay-fetches", &Tuning::delay_fetches, 0, 100,
       "time an array waits for a machine that holds its image, in fetch times"},
      {"rank", "passed-over-s", &Tuning::starvation_s, 10, 100000,
       "a job none of whose tasks could be placed for this long is scheduled first once"},
      {"rank", "preempt-after-s", &Tuning::preempt_after_s, 0, 600,
       "time a job within its guarantee waits before tasks of others are preempted for it"},
      {"rank", "gang-reserve-s", &Tuning::gang_reserve_s, 0, 600,
       "capacity is reserved for a gang that has not found enough for this long"},
      {"rank", "gang-long-fetch-s", &Tuning::gang_long_fetch_s, 0, 100000,
       "if a gang's fetch takes longer, it may preempt tasks on machines that hold the image"},
      {"rank", "long-fetch-s", &Tuning::long_fetch_s, 0, 100000,
       "if a replica's fetch takes longer, it may preempt arrays on machines that hold the image"},
      {"rank", "stop-for-image", &Tuning::preempt_for_image, 0, 1000,
       "maximum work lost to such a preemption, in cores times the fetch time"},
      {"fleet", "silent-s", &Tuning::silent_after_s, 1, 600,
       "an idle machine without heartbeats for this long is probed and gets no new tasks"},
      {"fleet", "probe-s", &Tuning::probe_interval_s, 0.2, 600,
       "a machine with tasks and without heartbeats for this long is probed"},
      {"fleet", "quick-lost-s", &Tuning::quick_death_s, 0.5, 600,
       "a machine without heartbeats for this long that fails two probes is released"},
      {"fleet", "lost-s", &Tuning::death_s, 1, 600,
       "as quick-lost-s, if several machines send no heartbeats at once"},
      {"fleet", "lost-behind-cut-s", &Tuning::partition_death_s, 1, 600,
       "as quick-lost-s, for machines of a zone that was partitioned recently"},
      {"fleet", "takeover-wait-s", &Tuning::failover_wait_s, 1, 600,
       "time a new leader waits for a machine's first heartbeat"},
      {"fleet", "deaf-s", &Tuning::one_way_death_s, 1, 600,
       "a one-way reachable machine (heartbeats, but no responses for this long) is released"},
      {"fleet", "message-ms", &Tuning::worker_call_ms, 0.001, 100,
       "processor time of one request to a worker, for the shares below"},
      {"fleet", "probe-share", &Tuning::probe_share, 0.001, 1,
       "share of the processor quota for probing machines"},
      {"fleet", "direct-share", &Tuning::command_share, 0.01, 1,
       "share of the processor quota for commands sent directly to workers"},
      {"capacity", "plan-s", &Tuning::autoscale_interval_s, 0.2, 60, "autoscaling interval"},
      {"capacity", "idle-spot-boots", &Tuning::idle_spot_boots, 0, 1000,
       "time an idle spot machine is kept, in boot times"},
      {"capacity", "idle-ordinary-boots", &Tuning::idle_ordinary_boots, 0, 1000,
       "time an idle ordinary machine is kept, in boot times"},
      {"capacity", "drain-s", &Tuning::backlog_drain_s, 1, 3600,
       "machines are provisioned to complete the backlog of arrays within this time"},
      {"capacity", "patient-s", &Tuning::image_locality_wait_s, 0, 3600,
       "services that have waited this long may be placed where their image is missing"},
      {"capacity", "headroom-free", &Tuning::headroom_reserved_share, 0, 1,
       "share of the headroom for replicas that arrays may not use"},
      {"capacity", "headroom-machines", &Tuning::headroom_machines, 0, 100,
       "headroom for replicas, in machines that may be lost"},
      {"capacity", "headroom-boots", &Tuning::headroom_boots, 0, 100,
       "headroom for replicas, in boot times of arriving services"},
      {"capacity", "headroom-share", &Tuning::headroom_share, 0, 1,
       "minimum headroom for replicas, as a share of the cores that services use"},
      {"capacity", "settled-s", &Tuning::settled_s, 0, 3600,
       "machines and tasks younger than this are not consolidated"},
      {"capacity", "consolidate-spare", &Tuning::consolidation_spare_share, 0, 1000,
       "free capacity required beyond the headroom to empty a machine, as a share of it"},
      {"capacity", "late-boot", &Tuning::late_boot_factor, 1, 20,
       "machines that boot longer, in nominal boot times, do not count as future capacity"},
      {"capacity", "give-up-boot", &Tuning::give_up_boot_factor, 1, 100,
       "machines that boot longer, in nominal boot times, are released"},
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
    case TuningErrorKind::kRenewalIntervalTooLong:
      return "leader renew-ms: more than half of lease-ms";
    case TuningErrorKind::kLateBootExceedsGiveUpBoot:
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
