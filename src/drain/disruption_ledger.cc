#include "drain/disruption_ledger.h"

#include <algorithm>

namespace deckhall {

DisruptionLedger::DisruptionLedger(JobStore* job_store, Fleet* fleet, const Clock* clock,
                                   double heartbeat_overdue_s)
    : job_store_(job_store),
      fleet_(fleet),
      clock_(clock),
      heartbeat_overdue_s_(heartbeat_overdue_s) {}

void DisruptionLedger::ApplyPolicy(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed) {
  confirmed_ = confirmed;
  if (policy == policy_) return;
  const bool first_policy = policy_ == nullptr;
  policy_ = std::move(policy);
  if (policy_ == nullptr) return;
  if (first_policy)
    stop_history_complete_at_ = clock_->Now() + policy_->eviction_limits.stop_window_s;
  Rebuild(first_policy);
}

void DisruptionLedger::Rebuild(bool first_policy) {
  // Recorded array stops are kept, by team and job class.
  std::map<std::pair<std::string, std::string>, std::deque<double>> stop_times;
  for (const auto& [key, at] : usage_index_) stop_times[key] = std::move(usages_[at].stop_times);
  // Keeps which replicas have run: `may_have_run` holds only for jobs of earlier leaders.
  std::map<JobIndex, CountedJob> previous_jobs = std::exchange(jobs_, {});
  std::vector<std::pair<JobIndex, uint32_t>> ran_replicas;
  std::vector<std::pair<JobIndex, uint32_t>> reserved;
  for (const auto& [j, job] : previous_jobs) {
    for (uint32_t t = 0; t < job.replica_count; ++t) {
      const uint32_t number = job.first_replica + t;
      if (!job.usages.empty() && usages_[job.usages[0]].expected.contains(number)) {
        ran_replicas.emplace_back(j, t);
      }
      if (reserved_.contains(number)) reserved.emplace_back(j, t);
    }
  }
  usages_.clear();
  usage_index_.clear();
  job_by_first_replica_.clear();
  settle_times_.clear();
  changed_replicas_ = available_replicas_ = reserved_ = Roaring();
  next_replica_ = 0;
  for (const DisruptionBudget& budget : policy_->budgets) {
    BudgetUsage& usage = usages_[UsageFor(budget.team, budget.job_class)];
    if (budget.down_limit) usage.down_limit = budget.down_limit;
    usage.max_stopped_tasks = budget.max_stopped_tasks;
  }
  for (auto& [key, times] : stop_times) {
    if (!times.empty()) usages_[UsageFor(key.first, key.second)].stop_times = std::move(times);
  }
  for (JobIndex job_index : job_store_->active_jobs()) {
    auto previous = previous_jobs.find(job_index);
    AddJob(job_index,
           first_policy || (previous != previous_jobs.end() && previous->second.may_have_run));
  }
  for (const auto& [j, task] : ran_replicas) {
    auto it = jobs_.find(j);
    if (it == jobs_.end()) continue;
    for (size_t a : it->second.usages) usages_[a].expected.add(it->second.first_replica + task);
  }
  for (const auto& [j, task] : reserved) ReserveDisruption(j, task);
}

size_t DisruptionLedger::UsageFor(const std::string& team, const std::string& job_class) {
  auto [it, inserted] = usage_index_.try_emplace({team, job_class}, usages_.size());
  if (inserted) {
    BudgetUsage usage;
    usage.name = job_class.empty() ? team : team + " " + job_class;
    if (job_class.empty()) usage.down_limit = policy_->default_down_limit;
    usages_.push_back(std::move(usage));
  }
  return it->second;
}

std::vector<size_t> DisruptionLedger::UsagesOf(const Job& job) {
  std::vector<size_t> out = {UsageFor(job.spec.team, "")};
  const auto of_class = usage_index_.find({job.spec.team, job.spec.job_class});
  if (of_class != usage_index_.end()) out.push_back(of_class->second);
  return out;
}

void DisruptionLedger::AddJob(JobIndex job_index, bool may_have_run) {
  const Job& job = (*job_store_)[job_index];
  if (!job.has_spec || job.lifecycle != JobLifecycle::kActive || jobs_.contains(job_index)) return;
  CountedJob counted_job;
  counted_job.usages = UsagesOf(job);
  if (job.spec.service) {
    counted_job.first_replica = next_replica_;
    counted_job.replica_count = static_cast<uint32_t>(job.tasks.size());
    counted_job.may_have_run = may_have_run;
    next_replica_ += counted_job.replica_count;
    job_by_first_replica_[counted_job.first_replica] = job_index;
    changed_replicas_.addRange(
        counted_job.first_replica,
        static_cast<uint64_t>(counted_job.first_replica) + counted_job.replica_count);
  }
  jobs_[job_index] = std::move(counted_job);
}

void DisruptionLedger::RemoveJob(JobIndex job_index) {
  auto it = jobs_.find(job_index);
  if (it == jobs_.end()) return;
  const CountedJob& counted_job = it->second;
  for (uint32_t n = counted_job.first_replica;
       n < counted_job.first_replica + counted_job.replica_count; ++n) {
    for (size_t a : counted_job.usages) {
      usages_[a].expected.remove(n);
      usages_[a].unavailable.remove(n);
    }
    changed_replicas_.remove(n);
    available_replicas_.remove(n);
    reserved_.remove(n);
  }
  if (counted_job.replica_count > 0) job_by_first_replica_.erase(counted_job.first_replica);
  jobs_.erase(it);
}

void DisruptionLedger::JobChanged(JobIndex job_index) {
  if (!active()) return;
  if ((*job_store_)[job_index].lifecycle == JobLifecycle::kActive) {
    AddJob(job_index, false);
  } else {
    RemoveJob(job_index);
  }
}

void DisruptionLedger::ReplicaChanged(JobIndex job_index, uint32_t task_index) {
  if (!active()) return;
  auto it = jobs_.find(job_index);
  if (it != jobs_.end() && task_index < it->second.replica_count)
    changed_replicas_.add(it->second.first_replica + task_index);
}

void DisruptionLedger::ArrayTaskStopped(JobIndex job_index) {
  if (!active()) return;
  auto it = jobs_.find(job_index);
  if (it == jobs_.end()) return;
  for (size_t a : it->second.usages) {
    if (usages_[a].max_stopped_tasks) usages_[a].stop_times.push_back(clock_->Now());
  }
}

bool DisruptionLedger::IsAtRisk(const Machine& machine) const {
  return !machine.reconciled || machine.partitioned || machine.scaling_in ||
         machine.preemption_at >= 0 || machine.unreachable_count > 0 ||
         machine.probe_failures > 0 || machine.unreachable_since >= 0 ||
         clock_->Now() - machine.last_heard_at > heartbeat_overdue_s_;
}

void DisruptionLedger::RefreshMachinesAtRisk() {
  for (MachineIndex machine_index : fleet_->active()) {
    const Machine& machine = (*fleet_)[machine_index];
    const bool at_risk = machine.service_cores > 0 && IsAtRisk(machine);
    if (at_risk == machines_at_risk_.contains(machine_index)) continue;
    if (at_risk) {
      machines_at_risk_.add(machine_index);
    } else {
      machines_at_risk_.remove(machine_index);
    }
    for (const TaskAttempt& attempt : machine.attempts) {
      if (attempt.service && attempt.job != kNoIndex)
        ReplicaChanged(attempt.job, attempt.task_index);
    }
  }
}

void DisruptionLedger::Refresh() {
  if (!active()) return;
  RefreshMachinesAtRisk();
  const double now = clock_->Now();
  while (!settle_times_.empty() && settle_times_.begin()->first <= now) {
    changed_replicas_.add(settle_times_.begin()->second);
    settle_times_.erase(settle_times_.begin());
  }
  const Roaring changed = std::exchange(changed_replicas_, Roaring());
  for (uint32_t number : changed) UpdateReplica(number);
  for (BudgetUsage& usage : usages_) {
    while (!usage.stop_times.empty() &&
           now - usage.stop_times.front() > policy_->eviction_limits.stop_window_s) {
      usage.stop_times.pop_front();
    }
  }
}

DisruptionLedger::Replica DisruptionLedger::ReplicaOf(uint32_t number) const {
  auto it = job_by_first_replica_.upper_bound(number);
  if (it == job_by_first_replica_.begin()) return {};
  --it;
  const CountedJob& counted_job = jobs_.at(it->second);
  if (number >= counted_job.first_replica + counted_job.replica_count) return {};
  return {it->second, number - counted_job.first_replica};
}

void DisruptionLedger::UpdateReplica(uint32_t number) {
  ++work_units_;
  const Replica replica = ReplicaOf(number);
  if (replica.job == kNoIndex) return;
  const CountedJob& counted_job = jobs_.at(replica.job);
  const Task& task = (*job_store_)[replica.job].tasks[replica.task];
  const TaskAttempt* attempt = nullptr;
  if (task.phase == TaskPhase::kPlaced) {
    attempt = fleet_->FindAttempt(task.machine, replica.job, replica.task, task.attempt);
  }
  const bool runs = attempt != nullptr && !attempt->released && attempt->wanted &&
                    attempt->state == TaskState::kRunning && attempt->running_since >= 0;
  const double settled_at = runs ? attempt->running_since + policy_->eviction_limits.settle_s : 0;
  const bool settled = runs && clock_->Now() >= settled_at;
  if (runs && !settled) settle_times_.emplace(settled_at, number);
  const bool available =
      settled && !machines_at_risk_.contains(task.machine) && !reserved_.contains(number);
  if (available) {
    available_replicas_.add(number);
  } else {
    available_replicas_.remove(number);
  }
  for (size_t a : counted_job.usages) {
    BudgetUsage& usage = usages_[a];
    if (runs || counted_job.may_have_run) usage.expected.add(number);
    if (!available && usage.expected.contains(number)) {
      usage.unavailable.add(number);
    } else {
      usage.unavailable.remove(number);
    }
  }
}

BlockedState DisruptionLedger::BudgetShortfall(const CountedJob& job, uint64_t additional) const {
  for (size_t a : job.usages) {
    const BudgetUsage& usage = usages_[a];
    if (!usage.down_limit) continue;
    const uint64_t limit = usage.down_limit->MaxDown(usage.expected.cardinality());
    const uint64_t down = usage.unavailable.cardinality();
    if (down + additional <= limit) continue;
    return {BlockedReason::kBudget,
            usage.name + ", " + std::to_string(down) + " of at most " + std::to_string(limit)};
  }
  return {};
}

BlockedState DisruptionLedger::BlockedFromEvicting(JobIndex job_index) const {
  if (!active()) return {};
  if (!confirmed_) return {BlockedReason::kPolicyUnconfirmed, ""};
  auto it = jobs_.find(job_index);
  if (it == jobs_.end()) return {};
  return BudgetShortfall(it->second, 1);
}

BlockedState DisruptionLedger::BudgetViolation(JobIndex job_index) const {
  if (!active()) return {};
  if (!confirmed_) return {BlockedReason::kPolicyUnconfirmed, ""};
  auto it = jobs_.find(job_index);
  if (it == jobs_.end()) return {};
  return BudgetShortfall(it->second, 0);
}

size_t DisruptionLedger::StopsInWindow(const BudgetUsage& usage) const {
  const double from = clock_->Now() - policy_->eviction_limits.stop_window_s;
  const auto recent = std::lower_bound(usage.stop_times.begin(), usage.stop_times.end(), from);
  return static_cast<size_t>(usage.stop_times.end() - recent);
}

BlockedState DisruptionLedger::BlockedFromStopping(const std::vector<JobIndex>& tasks) const {
  if (!active()) return {};
  if (!confirmed_) return {BlockedReason::kPolicyUnconfirmed, ""};
  std::map<size_t, size_t> additional;
  for (JobIndex job_index : tasks) {
    auto it = jobs_.find(job_index);
    if (it == jobs_.end()) continue;
    for (size_t a : it->second.usages) ++additional[a];
  }
  for (const auto& [a, count] : additional) {
    const BudgetUsage& usage = usages_[a];
    if (!usage.max_stopped_tasks) continue;
    if (clock_->Now() < stop_history_complete_at_) return {BlockedReason::kFailover, usage.name};
    const size_t stopped = StopsInWindow(usage);
    if (stopped + count <= *usage.max_stopped_tasks) continue;
    return {BlockedReason::kArrayStopBudget, usage.name + ", " + std::to_string(stopped) +
                                                 " of at most " +
                                                 std::to_string(*usage.max_stopped_tasks)};
  }
  return {};
}

void DisruptionLedger::ReserveDisruption(JobIndex job_index, uint32_t task_index) {
  auto it = jobs_.find(job_index);
  if (it == jobs_.end() || task_index >= it->second.replica_count) return;
  reserved_.add(it->second.first_replica + task_index);
  UpdateReplica(it->second.first_replica + task_index);
}

void DisruptionLedger::ReleaseDisruption(JobIndex job_index, uint32_t task_index) {
  auto it = jobs_.find(job_index);
  if (it == jobs_.end() || task_index >= it->second.replica_count) return;
  reserved_.remove(it->second.first_replica + task_index);
  UpdateReplica(it->second.first_replica + task_index);
}

bool DisruptionLedger::IsAvailable(JobIndex job_index, uint32_t task_index) const {
  auto it = jobs_.find(job_index);
  return it != jobs_.end() && task_index < it->second.replica_count &&
         available_replicas_.contains(it->second.first_replica + task_index);
}

uint64_t DisruptionLedger::CountAvailable(JobIndex job_index) const {
  auto it = jobs_.find(job_index);
  if (it == jobs_.end() || it->second.replica_count == 0) return 0;
  const uint32_t first = it->second.first_replica;
  const uint64_t before = first == 0 ? 0 : available_replicas_.rank(first - 1);
  return available_replicas_.rank(first + it->second.replica_count - 1) - before;
}

uint64_t DisruptionLedger::CountUnavailable(const std::string& team) const {
  auto it = usage_index_.find({team, ""});
  return it == usage_index_.end() ? 0 : usages_[it->second].unavailable.cardinality();
}

}  // namespace deckhall
