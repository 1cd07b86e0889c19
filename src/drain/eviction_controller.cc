#include "drain/eviction_controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

// Machines examined in one tick, over all drains.
constexpr size_t kMaxExaminedPerTick = 64;
// A drain's machines are sorted again after this period.
constexpr double kSortIntervalSeconds = 5;
constexpr double kWriteIntervalSeconds = 5;
// Replicas for which capacity is requested ahead of their evictions.
constexpr size_t kMaxJobsAwaitingCapacity = 16;

}  // namespace

EvictionController::EvictionController(const EvictionDependencies& dependencies)
    : job_store_(dependencies.job_store),
      fleet_(dependencies.fleet),
      free_capacity_(dependencies.free_capacity),
      provisioner_(dependencies.provisioner),
      gang_supervisor_(dependencies.gang_supervisor),
      record_store_(dependencies.record_store),
      ledger_(dependencies.ledger),
      clock_(dependencies.clock),
      members_(dependencies.job_store, dependencies.fleet, dependencies.provisioner),
      eviction_tracker_(dependencies.job_store, dependencies.fleet, dependencies.record_store,
                        dependencies.clock),
      replacement_finder_(dependencies.job_store, dependencies.free_capacity, dependencies.clock) {}

bool EvictionController::LoadRecord(RecordId record_id, const std::string& text) {
  if (std::optional<DrainProgress> progress = DecodeProgress(text)) {
    record_store_->Reserve(record_id, kMaxProgressBytes);
    const std::string name = progress->drain;
    loaded_progress_[name] = {record_id, std::move(*progress)};
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
    loaded_progress_[drain.progress.drain] = {drain.record_id, drain.progress};
  }
  drains_.clear();
  std::vector<double> start_times;
  if (policy_ != nullptr) {
    for (const DrainRequest& request : policy_->drains) {
      Drain& drain = drains_.emplace_back();
      drain.request = &request;
      drain.last_progress_at = clock_->Now();
      auto previous = loaded_progress_.find(request.name);
      if (previous != loaded_progress_.end()) {
        drain.record_id = previous->second.first;
        drain.progress = previous->second.second;
        loaded_progress_.erase(previous);
      } else {
        drain.progress.drain = request.name;
        drain.progress.since_wall = clock_->Wall();
        spdlog::info("drain={}: started", request.name);
      }
      start_times.push_back(drain.progress.since_wall);
    }
  }
  members_.ApplyPolicy(policy_, std::move(start_times));
  image_wait_since_.clear();
  next_write_at_ = 0;
}

EvictionController::Drain* EvictionController::Find(const std::string& name) {
  auto it = std::find_if(drains_.begin(), drains_.end(),
                         [&name](const Drain& drain) { return drain.request->name == name; });
  return it == drains_.end() ? nullptr : &*it;
}

bool EvictionController::IsActiveDrain(const std::string& name) const {
  return policy_ != nullptr && policy_->Find(name) != nullptr && !policy_->Find(name)->paused;
}

void EvictionController::MarkProgress(const std::string& name) {
  if (Drain* drain = Find(name)) drain->last_progress_at = clock_->Now();
}

void EvictionController::Tick() {
  ledger_->Refresh();
  // Without a policy, the evictions of the previous one are still advanced until they end.
  AdvanceEvictions();
  jobs_awaiting_capacity_.clear();
  if (policy_ == nullptr) return;
  if (members_.Sync()) {
    for (Drain& drain : drains_) drain.sorted_at = -1;
  }
  StartEvictions();
  double planned_cores = 0;
  for (JobIndex job_index : jobs_awaiting_capacity_)
    planned_cores += (*job_store_)[job_index].spec.cores;
  free_capacity_->SetPlannedCores(planned_cores);
  for (Drain& drain : drains_) RefreshDrain(&drain);
  if (clock_->Now() < next_write_at_) return;
  next_write_at_ = clock_->Now() + kWriteIntervalSeconds;
  for (Drain& drain : drains_) WriteProgress(&drain);
  if (!confirmed_) return;
  // Removes the records of withdrawn drains.
  for (const auto& [name, previous] : std::exchange(loaded_progress_, {})) {
    spdlog::info("drain={}: withdrawn", name);
    if (previous.first != kNoRecord) record_store_->Remove(previous.first);
  }
}

bool EvictionController::HasUnknownType(const Drain& drain) const {
  const std::string& type = drain.request->machines.type;
  if (type.empty() || !provisioner_->types_known() || drain.progress.machines_done > 0)
    return false;
  return provisioner_->TypeOf(job_store_->types.Find(type)) == nullptr;
}

bool EvictionController::IsPastDeadline(const Drain& drain) const {
  return drain.request->deadline_s &&
         clock_->Wall() >= drain.progress.since_wall + *drain.request->deadline_s;
}

void EvictionController::SortMachines(Drain* drain) {
  const auto index =
      static_cast<size_t>(std::find_if(drains_.begin(), drains_.end(),
                                       [drain](const Drain& other) { return &other == drain; }) -
                          drains_.begin());
  drain->sorted_at = clock_->Now();
  drain->queue.clear();
  std::vector<MachineIndex> removed_machines;
  for (uint32_t machine_index : members_.MachinesOf(index)) {
    ++examined_;
    if ((*fleet_)[machine_index].removed) {
      removed_machines.push_back(machine_index);
    } else {
      drain->queue.push_back(machine_index);
    }
  }
  for (MachineIndex machine_index : removed_machines) {
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
  std::vector<Drain*> candidates;
  for (Drain& drain : drains_) {
    const bool due = drain.sorted_at < 0 || clock_->Now() - drain.sorted_at > kSortIntervalSeconds;
    if (due && drain.cursor >= drain.queue.size()) SortMachines(&drain);
    if (drain.cursor >= drain.queue.size()) drain.cursor = 0;
    if (!drain.queue.empty()) candidates.push_back(&drain);
  }
  // The drain whose last eviction is longest ago goes first, so that drains that share a budget
  // take turns in using it.
  std::stable_sort(candidates.begin(), candidates.end(), [](const Drain* a, const Drain* b) {
    return a->last_eviction_at < b->last_eviction_at;
  });
  const size_t share =
      candidates.empty() ? 0 : std::max<size_t>(1, kMaxExaminedPerTick / candidates.size());
  std::map<Drain*, size_t> remaining;
  for (Drain* drain : candidates) remaining[drain] = std::min(share, drain->queue.size());
  bool started_any = true;
  while (started_any) {
    started_any = false;
    for (Drain* drain : candidates)
      started_any = StartNextEviction(drain, &remaining[drain]) || started_any;
  }
}

bool EvictionController::StartNextEviction(Drain* drain, size_t* remaining) {
  while (*remaining > 0) {
    if (drain->cursor >= drain->queue.size()) {
      // The whole queue was examined; a second pass would find the same.
      *remaining = 0;
      return false;
    }
    const MachineIndex machine_index = drain->queue[drain->cursor];
    ++examined_;
    --*remaining;
    if (!Examine(drain, machine_index)) {
      ++drain->cursor;
      continue;
    }
    // Other drains go first; the next round examines the same machine again.
    drain->last_eviction_at = drain->last_progress_at = clock_->Now();
    return true;
  }
  return false;
}

bool EvictionController::Examine(Drain* drain, MachineIndex machine_index) {
  const Machine& machine = (*fleet_)[machine_index];
  if (machine.removed) return false;
  if (drain->request->paused) {
    drain->blocked = {BlockedReason::kPaused, ""};
    return false;
  }
  if (!confirmed_) {
    drain->blocked = {BlockedReason::kPolicyUnconfirmed, ""};
    return false;
  }
  if (machine.attempts.empty()) {
    drain->blocked = {BlockedReason::kScalingIn, ""};
    return false;
  }
  drain->blocked = {BlockedReason::kStopping, machine.name};
  // Attempts may be added to the machine during the loop, but none are removed.
  for (size_t i = 0; i < (*fleet_)[machine_index].attempts.size(); ++i) {
    ++examined_;
    TaskAttempt& attempt = (*fleet_)[machine_index].attempts[i];
    if (attempt.released || !attempt.wanted || attempt.job == kNoIndex) continue;
    const bool started = attempt.service ? ExamineReplica(drain, machine_index, attempt)
                                         : ExamineArrayTask(drain, machine_index, &attempt);
    if (started) return true;
  }
  return false;
}

BlockedState EvictionController::BlockedFromMoving(MachineIndex machine_index,
                                                   const TaskAttempt& attempt) const {
  const Job& job = (*job_store_)[attempt.job];
  if (eviction_tracker_.evictions().size() >= policy_->eviction_limits.max_evictions) {
    return {BlockedReason::kEvictionLimit, ""};
  }
  if (job.tasks_unreconciled > 0) return {BlockedReason::kFailover, job.id};
  if (attempt.state != TaskState::kRunning)
    return {BlockedReason::kReplicaNotAvailable, attempt.task_name};
  if ((*fleet_)[machine_index].unreachable_count > 0 ||
      (*fleet_)[machine_index].probe_failures > 0) {
    return {BlockedReason::kMachineUnreachable, (*fleet_)[machine_index].name};
  }
  if (!ledger_->IsAvailable(attempt.job, attempt.task_index))
    return {BlockedReason::kReplicaNotAvailable, attempt.task_name};
  const uint64_t available_count = ledger_->CountAvailable(attempt.job);
  auto backoff = backoffs_.find(attempt.job);
  if (backoff != backoffs_.end() &&
      (available_count < job.tasks.size() || clock_->Now() < backoff->second.until)) {
    return {BlockedReason::kReplacementUnhealthy, job.id};
  }
  if (job.tasks.size() > 1 && available_count < 2) return {BlockedReason::kLastReplica, job.id};
  return ledger_->BlockedFromEvicting(attempt.job);
}

bool EvictionController::ExamineReplica(Drain* drain, MachineIndex machine_index,
                                        const TaskAttempt& attempt) {
  if (attempt.state != TaskState::kRunning) MoveStuckReplica(machine_index, attempt);
  if (eviction_tracker_.IsEvicting(attempt.job, attempt.task_index)) return false;
  BlockedState blocked = BlockedFromMoving(machine_index, attempt);
  ReplacementFinder::Result replacement;
  if (!blocked) {
    auto waiting_since = image_wait_since_.try_emplace(attempt.job, clock_->Now()).first;
    const bool allow_fetch =
        clock_->Now() - waiting_since->second >= policy_->eviction_limits.image_wait_s;
    replacement = replacement_finder_.Find(attempt.job, machine_index, allow_fetch);
    blocked = replacement.blocked;
  }
  if (blocked) {
    drain->blocked = blocked;
    if (jobs_awaiting_capacity_.size() < kMaxJobsAwaitingCapacity)
      jobs_awaiting_capacity_.push_back(attempt.job);
    return false;
  }
  if (replacement.has_image) image_wait_since_.erase(attempt.job);
  ledger_->ReserveDisruption(attempt.job, attempt.task_index);
  ReserveReplacementCapacity(
      &eviction_tracker_.Begin(drain->request->name, attempt.job, attempt.task_index, machine_index,
                               attempt.number),
      replacement.machine);
  drain->blocked = {BlockedReason::kReplacing, (*job_store_)[attempt.job].id};
  return true;
}

// A replica that does not start on a drained machine is unavailable already: it is stopped there
// without a budget check and placed elsewhere.
void EvictionController::MoveStuckReplica(MachineIndex machine_index, const TaskAttempt& attempt) {
  if (attempt.running_since >= 0 || !attempt.wanted) return;
  if (clock_->Now() - attempt.launched_at < policy_->eviction_limits.replacement_timeout_s) return;
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
  // A gang is stopped as a whole, so all its tasks count.
  const size_t count = job.spec.gang ? job.machines.size() : 1;
  const BlockedState blocked =
      ledger_->BlockedFromStopping(std::vector<JobIndex>(count, attempt->job));
  if (blocked) {
    drain->blocked = blocked;
    return false;
  }
  spdlog::info("drain={} task={} machine={}: array task stopped: drain deadline passed",
               drain->request->name, attempt->task_name, (*fleet_)[machine_index].name);
  drain->progress.tasks_stopped += count;
  if (job.spec.gang) {
    gang_supervisor_->StopGang(attempt->job, "drain deadline passed");
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
  const bool drained = drain->sorted_at >= 0 && confirmed_ && drain->queue.empty();
  const bool unknown_type = drain->queue.empty() && HasUnknownType(*drain);
  progress.state = DrainState::kActive;
  if (drained && progress.replicas_moving == 0 && !unknown_type) progress.state = DrainState::kDone;
  if (drain->request->paused) progress.state = DrainState::kPaused;
  if (progress.state == DrainState::kPaused) {
    drain->blocked = {BlockedReason::kPaused, ""};
  } else if (progress.state == DrainState::kDone) {
    drain->blocked = {};
  } else if (!confirmed_) {
    drain->blocked = {BlockedReason::kPolicyUnconfirmed, ""};
  } else if (unknown_type) {
    drain->blocked = {BlockedReason::kUnknownType, drain->request->machines.type};
  } else if (drain->queue.empty()) {
    drain->blocked = {BlockedReason::kReplacing, std::to_string(progress.replicas_moving)};
  }
  if (progress.state == DrainState::kDone && !was_done) {
    spdlog::info("drain={} machines={} replicas_moved={}: done", progress.drain,
                 progress.machines_done, progress.replicas_moved);
    next_write_at_ = 0;
  }
  progress.blocked_reason = Describe(drain->blocked);
  progress.waiting_since_wall = clock_->Wall() - (clock_->Now() - drain->last_progress_at);
}

void EvictionController::WriteProgress(Drain* drain) {
  // A waiting time is stored only while the drain is blocked: it alone causes no write.
  DrainProgress stored_progress = drain->progress;
  if (stored_progress.blocked_reason.empty()) stored_progress.waiting_since_wall = 0;
  std::string text = EncodeProgress(stored_progress);
  if (text == drain->stored_text) return;
  drain->stored_text = text;
  if (drain->record_id == kNoRecord) {
    drain->record_id =
        record_store_->Add(std::move(text), kMaxProgressBytes, WritePriority::kDeferred);
  } else {
    record_store_->Update(drain->record_id, std::move(text), kMaxProgressBytes,
                          WritePriority::kBackground);
  }
}

std::vector<DrainProgress> EvictionController::Progress() const {
  std::vector<DrainProgress> out;
  for (const Drain& drain : drains_) out.push_back(drain.progress);
  return out;
}

}  // namespace deckhall
