#include "drain/disruption_ledger.h"

#include <algorithm>

namespace deckhall {

DisruptionLedger::DisruptionLedger(JobStore* job_store, Fleet* fleet, const Clock* clock,
                                   double overdue_s)
    : job_store_(job_store), fleet_(fleet), clock_(clock), overdue_s_(overdue_s) {}

void DisruptionLedger::ApplyPolicy(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed) {
  confirmed_ = confirmed;
  if (policy == policy_) return;
  const bool first = policy_ == nullptr;
  policy_ = std::move(policy);
  if (policy_ == nullptr) return;
  if (first) stops_known_from_ = clock_->Now() + policy_->times.window_s;
  Rebuild(first);
}

void DisruptionLedger::Rebuild(bool first) {
  // Stops that were counted stay counted, by team and class.
  std::map<std::pair<std::string, std::string>, std::deque<double>> stops;
  for (const auto& [key, at] : account_index_) stops[key] = std::move(accounts_[at].stops);
  // Only this term's first replicas are known never to have run.
  std::map<JobIndex, CountedJob> known = std::exchange(jobs_, {});
  std::vector<std::pair<JobIndex, uint32_t>> ran;
  std::vector<std::pair<JobIndex, uint32_t>> held;
  for (const auto& [j, job] : known) {
    for (uint32_t t = 0; t < job.replica_count; ++t) {
      const uint32_t number = job.first_replica + t;
      if (!job.accounts.empty() && accounts_[job.accounts[0]].expected.contains(number)) {
        ran.emplace_back(j, t);
      }
      if (held_.contains(number)) held.emplace_back(j, t);
    }
  }
  accounts_.clear();
  account_index_.clear();
  job_by_first_replica_.clear();
  settles_.clear();
  changed_ = available_ = held_ = Roaring();
  next_replica_ = 0;
  for (const DisruptionBudget& budget : policy_->budgets) {
    Account& account = accounts_[AccountFor(budget.team, budget.job_class)];
    if (budget.down) account.down = budget.down;
    account.stopped = budget.stopped;
  }
  for (auto& [key, times] : stops) {
    if (!times.empty()) accounts_[AccountFor(key.first, key.second)].stops = std::move(times);
  }
  for (JobIndex job_index : job_store_->active_jobs()) {
    auto before = known.find(job_index);
    AddJob(job_index, first || (before != known.end() && before->second.may_have_run));
  }
  for (const auto& [j, task] : ran) {
    auto it = jobs_.find(j);
    if (it == jobs_.end()) continue;
    for (size_t a : it->second.accounts) accounts_[a].expected.add(it->second.first_replica + task);
  }
  for (const auto& [j, task] : held) ReserveDisruption(j, task);
}

size_t DisruptionLedger::AccountFor(const std::string& team, const std::string& job_class) {
  auto [it, fresh] = account_index_.try_emplace({team, job_class}, accounts_.size());
  if (fresh) {
    Account account;
    account.name = job_class.empty() ? team : team + " " + job_class;
    if (job_class.empty()) account.down = policy_->default_down;
    accounts_.push_back(std::move(account));
  }
  return it->second;
}

std::vector<size_t> DisruptionLedger::AccountsOf(const Job& job) {
  std::vector<size_t> out = {AccountFor(job.spec.team, "")};
  const auto of_class = account_index_.find({job.spec.team, job.spec.job_class});
  if (of_class != account_index_.end()) out.push_back(of_class->second);
  return out;
}

void DisruptionLedger::AddJob(JobIndex job_index, bool may_have_run) {
  const Job& job = (*job_store_)[job_index];
  if (!job.has_spec || job.lifecycle != JobLifecycle::kActive || jobs_.contains(job_index)) return;
  CountedJob known;
  known.accounts = AccountsOf(job);
  if (job.spec.service) {
    known.first_replica = next_replica_;
    known.replica_count = static_cast<uint32_t>(job.tasks.size());
    known.may_have_run = may_have_run;
    next_replica_ += known.replica_count;
    job_by_first_replica_[known.first_replica] = job_index;
    changed_.addRange(known.first_replica,
                      static_cast<uint64_t>(known.first_replica) + known.replica_count);
  }
  jobs_[job_index] = std::move(known);
}

void DisruptionLedger::RemoveJob(JobIndex job_index) {
  auto it = jobs_.find(job_index);
  if (it == jobs_.end()) return;
  const CountedJob& known = it->second;
  for (uint32_t n = known.first_replica; n < known.first_replica + known.replica_count; ++n) {
    for (size_t a : known.accounts) {
      accounts_[a].expected.remove(n);
      accounts_[a].unavailable.remove(n);
    }
    changed_.remove(n);
    available_.remove(n);
    held_.remove(n);
  }
  if (known.replica_count > 0) job_by_first_replica_.erase(known.first_replica);
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
    changed_.add(it->second.first_replica + task_index);
}

void DisruptionLedger::ArrayTaskStopped(JobIndex job_index) {
  if (!active()) return;
  auto it = jobs_.find(job_index);
  if (it == jobs_.end()) return;
  for (size_t a : it->second.accounts) {
    if (accounts_[a].stopped) accounts_[a].stops.push_back(clock_->Now());
  }
}

bool DisruptionLedger::IsInDoubt(const Machine& machine) const {
  return !machine.reconciled || machine.partitioned || machine.scaling_in ||
         machine.preemption_at >= 0 || machine.unreachable_count > 0 ||
         machine.probe_failures > 0 || machine.unreachable_since >= 0 ||
         clock_->Now() - machine.last_heard_at > overdue_s_;
}

void DisruptionLedger::RefreshDoubts() {
  for (MachineIndex machine_index : fleet_->active()) {
    const Machine& machine = (*fleet_)[machine_index];
    const bool doubt = machine.service_cores > 0 && IsInDoubt(machine);
    if (doubt == doubtful_.contains(machine_index)) continue;
    if (doubt) {
      doubtful_.add(machine_index);
    } else {
      doubtful_.remove(machine_index);
    }
    for (const TaskAttempt& attempt : machine.attempts) {
      if (attempt.service && attempt.job != kNoIndex)
        ReplicaChanged(attempt.job, attempt.task_index);
    }
  }
}

void DisruptionLedger::Refresh() {
  if (!active()) return;
  RefreshDoubts();
  const double now = clock_->Now();
  while (!settles_.empty() && settles_.begin()->first <= now) {
    changed_.add(settles_.begin()->second);
    settles_.erase(settles_.begin());
  }
  const Roaring changed = std::exchange(changed_, Roaring());
  for (uint32_t number : changed) UpdateReplica(number);
  for (Account& account : accounts_) {
    while (!account.stops.empty() && now - account.stops.front() > policy_->times.window_s) {
      account.stops.pop_front();
    }
  }
}

DisruptionLedger::Replica DisruptionLedger::ReplicaOf(uint32_t number) const {
  auto it = job_by_first_replica_.upper_bound(number);
  if (it == job_by_first_replica_.begin()) return {};
  --it;
  const CountedJob& known = jobs_.at(it->second);
  if (number >= known.first_replica + known.replica_count) return {};
  return {it->second, number - known.first_replica};
}

void DisruptionLedger::UpdateReplica(uint32_t number) {
  ++work_units_;
  const Replica replica = ReplicaOf(number);
  if (replica.job == kNoIndex) return;
  const CountedJob& known = jobs_.at(replica.job);
  const Task& task = (*job_store_)[replica.job].tasks[replica.task];
  const TaskAttempt* attempt = nullptr;
  if (task.phase == TaskPhase::kPlaced) {
    attempt = fleet_->FindAttempt(task.machine, replica.job, replica.task, task.attempt);
  }
  const bool runs = attempt != nullptr && !attempt->released && attempt->wanted &&
                    attempt->state == TaskState::kRunning && attempt->running_since >= 0;
  const double settled_at = runs ? attempt->running_since + policy_->times.settle_s : 0;
  const bool settled = runs && clock_->Now() >= settled_at;
  if (runs && !settled) settles_.emplace(settled_at, number);
  const bool available = settled && !doubtful_.contains(task.machine) && !held_.contains(number);
  if (available) {
    available_.add(number);
  } else {
    available_.remove(number);
  }
  for (size_t a : known.accounts) {
    Account& account = accounts_[a];
    if (runs || known.may_have_run) account.expected.add(number);
    if (!available && account.expected.contains(number)) {
      account.unavailable.add(number);
    } else {
      account.unavailable.remove(number);
    }
  }
}

BlockedState DisruptionLedger::BudgetShortfall(const CountedJob& job, uint64_t more) const {
  for (size_t a : job.accounts) {
    const Account& account = accounts_[a];
    if (!account.down) continue;
    const uint64_t most = account.down->Of(account.expected.cardinality());
    const uint64_t down = account.unavailable.cardinality();
    if (down + more <= most) continue;
    return {BlockedReason::kBudget,
            account.name + ", " + std::to_string(down) + " of at most " + std::to_string(most)};
  }
  return {};
}

BlockedState DisruptionLedger::BlockedFromEvicting(JobIndex job_index) const {
  if (!active()) return {};
  if (!confirmed_) return {BlockedReason::kPolicyNotRead, ""};
  auto it = jobs_.find(job_index);
  if (it == jobs_.end()) return {};
  return BudgetShortfall(it->second, 1);
}

BlockedState DisruptionLedger::BudgetViolation(JobIndex job_index) const {
  if (!active()) return {};
  if (!confirmed_) return {BlockedReason::kPolicyNotRead, ""};
  auto it = jobs_.find(job_index);
  if (it == jobs_.end()) return {};
  return BudgetShortfall(it->second, 0);
}

size_t DisruptionLedger::StopsInWindow(const Account& account) const {
  const double from = clock_->Now() - policy_->times.window_s;
  const auto recent = std::lower_bound(account.stops.begin(), account.stops.end(), from);
  return static_cast<size_t>(account.stops.end() - recent);
}

BlockedState DisruptionLedger::BlockedFromStopping(const std::vector<JobIndex>& tasks) const {
  if (!active()) return {};
  if (!confirmed_) return {BlockedReason::kPolicyNotRead, ""};
  std::map<size_t, size_t> more;
  for (JobIndex job_index : tasks) {
    auto it = jobs_.find(job_index);
    if (it == jobs_.end()) continue;
    for (size_t a : it->second.accounts) ++more[a];
  }
  for (const auto& [a, count] : more) {
    const Account& account = accounts_[a];
    if (!account.stopped) continue;
    if (clock_->Now() < stops_known_from_) return {BlockedReason::kTakingOver, account.name};
    const size_t stopped = StopsInWindow(account);
    if (stopped + count <= *account.stopped) continue;
    return {BlockedReason::kStopBudget, account.name + ", " + std::to_string(stopped) +
                                            " of at most " + std::to_string(*account.stopped)};
  }
  return {};
}

void DisruptionLedger::ReserveDisruption(JobIndex job_index, uint32_t task_index) {
  auto it = jobs_.find(job_index);
  if (it == jobs_.end() || task_index >= it->second.replica_count) return;
  held_.add(it->second.first_replica + task_index);
  UpdateReplica(it->second.first_replica + task_index);
}

void DisruptionLedger::ReleaseDisruption(JobIndex job_index, uint32_t task_index) {
  auto it = jobs_.find(job_index);
  if (it == jobs_.end() || task_index >= it->second.replica_count) return;
  held_.remove(it->second.first_replica + task_index);
  UpdateReplica(it->second.first_replica + task_index);
}

bool DisruptionLedger::IsAvailable(JobIndex job_index, uint32_t task_index) const {
  auto it = jobs_.find(job_index);
  return it != jobs_.end() && task_index < it->second.replica_count &&
         available_.contains(it->second.first_replica + task_index);
}

uint64_t DisruptionLedger::CountAvailable(JobIndex job_index) const {
  auto it = jobs_.find(job_index);
  if (it == jobs_.end() || it->second.replica_count == 0) return 0;
  const uint32_t first = it->second.first_replica;
  const uint64_t before = first == 0 ? 0 : available_.rank(first - 1);
  return available_.rank(first + it->second.replica_count - 1) - before;
}

uint64_t DisruptionLedger::CountUnavailable(const std::string& team) const {
  auto it = account_index_.find({team, ""});
  return it == account_index_.end() ? 0 : accounts_[it->second].unavailable.cardinality();
}

}  // namespace deckhall
