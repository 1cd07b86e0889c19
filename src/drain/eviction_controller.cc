#include "drain/eviction_controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

// Machines that one tick looks at, over all drains.
constexpr size_t kMostLooks = 64;
// A drain's machines are put in order anew after so many seconds.
constexpr double kSortEvery = 5;
constexpr double kWriteEvery = 5;
// Replicas for which room elsewhere is got ready.
constexpr size_t kRoomAhead = 16;

}  // namespace

EvictionController::EvictionController(const EvictionDependencies& ports)
    : job_store_(ports.job_store),
      fleet_(ports.fleet),
      free_capacity_(ports.free_capacity),
      provisioner_(ports.provisioner),
      gangs_(ports.gang_supervisor),
      record_store_(ports.record_store),
      ledger_(ports.ledger),
      clock_(ports.clock),
      members_(ports.job_store, ports.fleet, ports.provisioner),
      eviction_tracker_(ports.job_store, ports.fleet, ports.record_store, ports.clock),
      places_(ports.job_store, ports.free_capacity, ports.clock) {}

bool EvictionController::LoadRecord(RecordId record_id, const std::string& text) {
  if (std::optional<DrainProgress> progress = DecodeProgress(text)) {
    record_store_->Reserve(record_id, kProgressBytes);
    const std::string name = progress->drain;
    loaded_[name] = {record_id, std::move(*progress)};
    return true;
  }
  return eviction_tracker_.LoadRecord(record_id, text);
}

void EvictionController::FinishLoad() { eviction_tracker_.FinishLoad(); }

void EvictionController::ApplyPolicy(std::shared_ptr<const DisruptionPolicy> policy,
                                     bool confirmed) {
  confirmed_ = confirmed;
  if (policy == policy_) return;
  policy_ = std::move(policy);
  for (Drain& drain : drains_) {
    loaded_[drain.progress.drain] = {drain.record_id, drain.progress};
  }
  drains_.clear();
  std::vector<double> since;
  if (policy_ != nullptr) {
    for (const DrainRequest& order : policy_->drains) {
      Drain& drain = drains_.emplace_back();
      drain.order = &order;
      drain.last_progress_at = clock_->Now();
      auto before = loaded_.find(order.name);
      if (before != loaded_.end()) {
        drain.record_id = before->second.first;
        drain.progress = before->second.second;
        loaded_.erase(before);
      } else {
        drain.progress.drain = order.name;
        drain.progress.since_wall = clock_->Wall();
        spdlog::info("drain={}: started", order.name);
      }
      since.push_back(drain.progress.since_wall);
    }
  }
  members_.ApplyPolicy(policy_, std::move(since));
  image_wait_since_.clear();
  next_write_ = 0;
}

EvictionController::Drain* EvictionController::Find(const std::string& name) {
  auto it = std::find_if(drains_.begin(), drains_.end(),
                         [&name](const Drain& drain) { return drain.order->name == name; });
  return it == drains_.end() ? nullptr : &*it;
}

bool EvictionController::InForce(const std::string& name) const {
  return policy_ != nullptr && policy_->Find(name) != nullptr && !policy_->Find(name)->paused;
}

void EvictionController::RecordProgress(const std::string& name) {
  if (Drain* drain = Find(name)) drain->last_progress_at = clock_->Now();
}

void EvictionController::Tick() {
  ledger_->Refresh();
  // Without a policy the steps of an earlier one are still followed to their end.
  AdvanceEvictions();
  jobs_needing_room_.clear();
  if (policy_ == nullptr) return;
  if (members_.Sync()) {
    for (Drain& drain : drains_) drain.sorted_at = -1;
  }
  StartEvictions();
  double ahead = 0;
  for (JobIndex job_index : jobs_needing_room_) ahead += (*job_store_)[job_index].spec.cores;
  free_capacity_->SetPlannedCores(ahead);
  for (Drain& drain : drains_) RefreshDrain(&drain);
  if (clock_->Now() < next_write_) return;
  next_write_ = clock_->Now() + kWriteEvery;
  for (Drain& drain : drains_) SaveProgress(&drain);
  if (!confirmed_) return;
  // What is left of drains that were withdrawn.
  for (const auto& [name, before] : std::exchange(loaded_, {})) {
    spdlog::info("drain={}: withdrawn", name);
    if (before.first != kNoRecord) record_store_->Remove(before.first);
  }
}

bool EvictionController::HasUnknownType(const Drain& drain) const {
  const std::string& type = drain.order->machines.type;
  if (type.empty() || !provisioner_->types_known() || drain.progress.machines_done > 0)
    return false;
  return provisioner_->TypeOf(job_store_->types.Find(type)) == nullptr;
}

bool EvictionController::IsPastDeadline(const Drain& drain) const {
  return drain.order->deadline_s &&
         clock_->Wall() >= drain.progress.since_wall + *drain.order->deadline_s;
}

void EvictionController::SortMachines(Drain* drain) {
  const auto index =
      static_cast<size_t>(std::find_if(drains_.begin(), drains_.end(),
                                       [drain](const Drain& other) { return &other == drain; }) -
                          drains_.begin());
  drain->sorted_at = clock_->Now();
  drain->queue.clear();
  std::vector<MachineIndex> gone;
  for (uint32_t mi : members_.MachinesOf(index)) {
    ++examined_;
    if ((*fleet_)[mi].removed) {
      gone.push_back(mi);
    } else {
      drain->queue.push_back(mi);
    }
  }
  for (MachineIndex machine_index : gone) {
    members_.Remove(index, machine_index);
    ++drain->progress.machines_done;
    drain->last_progress_at = clock_->Now();
  }
  std::stable_sort(drain->queue.begin(), drain->queue.end(),
                   [this](MachineIndex a, MachineIndex b) {
                     return (*fleet_)[a].service_cores < (*fleet_)[b].service_cores;
                   });
  drain->cursor = 0;
}

void EvictionController::StartEvictions() {
  std::vector<Drain*> turn;
  for (Drain& drain : drains_) {
    const bool due = drain.sorted_at < 0 || clock_->Now() - drain.sorted_at > kSortEvery;
    if (due && drain.cursor >= drain.queue.size()) SortMachines(&drain);
    if (drain.cursor >= drain.queue.size()) drain.cursor = 0;
    if (!drain.queue.empty()) turn.push_back(&drain);
  }
  // The one that had its last step longest ago goes first, so that none of those that want the
  // same budget gets all of it.
  std::stable_sort(turn.begin(), turn.end(), [](const Drain* a, const Drain* b) {
    return a->last_eviction_at < b->last_eviction_at;
  });
  const size_t share = turn.empty() ? 0 : std::max<size_t>(1, kMostLooks / turn.size());
  std::map<Drain*, size_t> looks;
  for (Drain* drain : turn) looks[drain] = std::min(share, drain->queue.size());
  bool any = true;
  while (any) {
    any = false;
    for (Drain* drain : turn) any = StartEvictionOf(drain, &looks[drain]) || any;
  }
}

bool EvictionController::StartEvictionOf(Drain* drain, size_t* looks) {
  while (*looks > 0) {
    if (drain->cursor >= drain->queue.size()) {
      // Once round; the rest of the looks would see the same again.
      *looks = 0;
      return false;
    }
    const MachineIndex machine_index = drain->queue[drain->cursor];
    ++examined_;
    --*looks;
    if (!Examine(drain, machine_index)) {
      ++drain->cursor;
      continue;
    }
    // Others go first; the same machine is looked at again in the next round.
    drain->last_eviction_at = drain->last_progress_at = clock_->Now();
    return true;
  }
  return false;
}

bool EvictionController::Examine(Drain* drain, MachineIndex machine_index) {
  const Machine& machine = (*fleet_)[machine_index];
  if (machine.removed) return false;
  if (drain->order->paused) {
    drain->blocked = {BlockedReason::kPaused, ""};
    return false;
  }
  if (!confirmed_) {
    drain->blocked = {BlockedReason::kPolicyNotRead, ""};
    return false;
  }
  if (machine.attempts.empty()) {
    drain->blocked = {BlockedReason::kReturning, ""};
    return false;
  }
  drain->blocked = {BlockedReason::kStopping, machine.name};
  // The books of the machine may grow while it is looked at, but nothing is taken out.
  for (size_t i = 0; i < (*fleet_)[machine_index].attempts.size(); ++i) {
    ++examined_;
    TaskAttempt& attempt = (*fleet_)[machine_index].attempts[i];
    if (attempt.released || !attempt.wanted || attempt.job == kNoIndex) continue;
    const bool begun = attempt.service ? ExamineReplica(drain, machine_index, attempt)
                                       : ExamineArrayTask(drain, machine_index, &attempt);
    if (begun) return true;
  }
  return false;
}

BlockedState EvictionController::BlockedFromMoving(MachineIndex machine_index,
                                                   const TaskAttempt& attempt) const {
  const Job& job = (*job_store_)[attempt.job];
  if (eviction_tracker_.evictions().size() >= policy_->times.max_evictions) {
    return {BlockedReason::kStepsAtOnce, ""};
  }
  if (job.tasks_unreconciled > 0) return {BlockedReason::kTakingOver, job.id};
  if (attempt.state != TaskState::kRunning)
    return {BlockedReason::kReplicaStarting, attempt.task_name};
  if ((*fleet_)[machine_index].unreachable_count > 0 ||
      (*fleet_)[machine_index].probe_failures > 0) {
    return {BlockedReason::kMachineSilent, (*fleet_)[machine_index].name};
  }
  if (!ledger_->IsAvailable(attempt.job, attempt.task_index))
    return {BlockedReason::kReplicaStarting, attempt.task_name};
  const uint64_t up = ledger_->CountAvailable(attempt.job);
  auto pause = backoffs_.find(attempt.job);
  if (pause != backoffs_.end() && (up < job.tasks.size() || clock_->Now() < pause->second.until)) {
    return {BlockedReason::kReplacementLate, job.id};
  }
  if (job.tasks.size() > 1 && up < 2) return {BlockedReason::kLastReplica, job.id};
  return ledger_->BlockedFromEvicting(attempt.job);
}

bool EvictionController::ExamineReplica(Drain* drain, MachineIndex machine_index,
                                        const TaskAttempt& attempt) {
  if (attempt.state != TaskState::kRunning) MoveStuckReplica(machine_index, attempt);
  if (eviction_tracker_.IsEvicting(attempt.job, attempt.task_index)) return false;
  BlockedState wait = BlockedFromMoving(machine_index, attempt);
  ReplacementFinder::Result place;
  if (!wait) {
    auto since = image_wait_since_.try_emplace(attempt.job, clock_->Now()).first;
    const bool fetch = clock_->Now() - since->second >= policy_->times.image_wait_s;
    place = places_.Find(attempt.job, machine_index, fetch);
    wait = place.blocked;
  }
  if (wait) {
    drain->blocked = wait;
    if (jobs_needing_room_.size() < kRoomAhead) jobs_needing_room_.push_back(attempt.job);
    return false;
  }
  if (place.has_image) image_wait_since_.erase(attempt.job);
  ledger_->ReserveDisruption(attempt.job, attempt.task_index);
  ReservePlace(&eviction_tracker_.Begin(drain->order->name, attempt.job, attempt.task_index,
                                        machine_index, attempt.number),
               place.machine);
  drain->blocked = {BlockedReason::kReplacing, (*job_store_)[attempt.job].id};
  return true;
}

// A replica that does not come up on a drained machine is down already: it is tried elsewhere.
void EvictionController::MoveStuckReplica(MachineIndex machine_index, const TaskAttempt& attempt) {
  if (attempt.running_since >= 0 || !attempt.wanted) return;
  if (clock_->Now() - attempt.launched_at < policy_->times.replace_within_s) return;
  fleet_->RequestStop(
      machine_index,
      fleet_->FindAttempt(machine_index, attempt.job, attempt.task_index, attempt.number), 0);
  fleet_->placement_needed = true;
}

bool EvictionController::ExamineArrayTask(Drain* drain, MachineIndex machine_index,
                                          TaskAttempt* attempt) {
  const Job& job = (*job_store_)[attempt->job];
  if (!IsPastDeadline(*drain)) {
    drain->blocked = {BlockedReason::kArraysRunning, job.id};
    return false;
  }
  // A gang is stopped whole or not at all.
  const size_t count = job.spec.gang ? job.machines.size() : 1;
  const BlockedState wait =
      ledger_->BlockedFromStopping(std::vector<JobIndex>(count, attempt->job));
  if (wait) {
    drain->blocked = wait;
    return false;
  }
  spdlog::info("drain={} task={} machine={}: array task stopped, past the deadline",
               drain->order->name, attempt->task_name, (*fleet_)[machine_index].name);
  drain->progress.tasks_stopped += count;
  if (job.spec.gang) {
    gangs_->StopGang(attempt->job, "a drain is past its deadline");
  } else {
    fleet_->RequestStop(machine_index, attempt, GracePeriodOf(job));
  }
  fleet_->placement_needed = true;
  return true;
}

void EvictionController::RefreshDrain(Drain* drain) {
  DrainProgress& progress = drain->progress;
  progress.replicas_moving = eviction_tracker_.CountEvictions(progress.drain);
  const bool was_done = progress.state == DrainState::kDone;
  progress.machines_left = drain->queue.size();
  const bool empty = drain->sorted_at >= 0 && confirmed_ && drain->queue.empty();
  const bool unknown = drain->queue.empty() && HasUnknownType(*drain);
  progress.state = DrainState::kActive;
  if (empty && progress.replicas_moving == 0 && !unknown) progress.state = DrainState::kDone;
  if (drain->order->paused) progress.state = DrainState::kPaused;
  if (progress.state == DrainState::kPaused) {
    drain->blocked = {BlockedReason::kPaused, ""};
  } else if (progress.state == DrainState::kDone) {
    drain->blocked = {};
  } else if (!confirmed_) {
    drain->blocked = {BlockedReason::kPolicyNotRead, ""};
  } else if (unknown) {
    drain->blocked = {BlockedReason::kUnknownType, drain->order->machines.type};
  } else if (drain->queue.empty()) {
    drain->blocked = {BlockedReason::kReplacing, std::to_string(progress.replicas_moving)};
  }
  if (progress.state == DrainState::kDone && !was_done) {
    spdlog::info("drain={} machines={} replicas_moved={}: done", progress.drain,
                 progress.machines_done, progress.replicas_moved);
    next_write_ = 0;
  }
  progress.why = Describe(drain->blocked);
  progress.waiting_since_wall = clock_->Wall() - (clock_->Now() - drain->last_progress_at);
}

void EvictionController::SaveProgress(Drain* drain) {
  // The time since which it waits alone is no reason to write.
  DrainProgress shown = drain->progress;
  if (shown.why.empty()) shown.waiting_since_wall = 0;
  std::string text = EncodeProgress(shown);
  if (text == drain->stored_text) return;
  drain->stored_text = text;
  if (drain->record_id == kNoRecord) {
    drain->record_id =
        record_store_->Add(std::move(text), kProgressBytes, WritePriority::kDeferred);
  } else {
    record_store_->Update(drain->record_id, std::move(text), kProgressBytes,
                          WritePriority::kBackground);
  }
}

std::vector<DrainProgress> EvictionController::Progress() const {
  std::vector<DrainProgress> out;
  for (const Drain& drain : drains_) out.push_back(drain.progress);
  return out;
}

}  // namespace deckhall
