#include "drain/drainer.h"

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

Drainer::Drainer(const DrainerPorts& ports)
    : job_store_(ports.job_store),
      fleet_(ports.fleet),
      free_capacity_(ports.free_capacity),
      rentals_(ports.rentals),
      gangs_(ports.gangs),
      record_store_(ports.record_store),
      ledger_(ports.ledger),
      clock_(ports.clock),
      members_(ports.job_store, ports.fleet, ports.rentals),
      step_book_(ports.job_store, ports.fleet, ports.record_store, ports.clock),
      places_(ports.job_store, ports.free_capacity, ports.clock) {}

bool Drainer::LoadRow(RecordId row, const std::string& text) {
  DrainProgress progress;
  if (DecodeProgress(text, &progress)) {
    record_store_->Reserve(row, kProgressBytes);
    const std::string name = progress.drain;
    loaded_[name] = {row, std::move(progress)};
    return true;
  }
  return step_book_.LoadRow(row, text);
}

void Drainer::FinishLoad() { step_book_.FinishLoad(); }

void Drainer::Use(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed) {
  confirmed_ = confirmed;
  if (policy == policy_) return;
  policy_ = std::move(policy);
  for (Drain& drain : drains_) {
    loaded_[drain.progress.drain] = {drain.row, drain.progress};
  }
  drains_.clear();
  std::vector<double> since;
  if (policy_ != nullptr) {
    for (const DrainOrder& order : policy_->drains) {
      Drain& drain = drains_.emplace_back();
      drain.order = &order;
      drain.moved_at = clock_->Now();
      auto before = loaded_.find(order.name);
      if (before != loaded_.end()) {
        drain.row = before->second.first;
        drain.progress = before->second.second;
        loaded_.erase(before);
      } else {
        drain.progress.drain = order.name;
        drain.progress.since_wall = clock_->Wall();
        spdlog::info("drain {} begins", order.name);
      }
      since.push_back(drain.progress.since_wall);
    }
  }
  members_.Use(policy_, std::move(since));
  image_wait_since_.clear();
  next_write_ = 0;
}

Drainer::Drain* Drainer::Find(const std::string& name) {
  auto it = std::find_if(drains_.begin(), drains_.end(),
                         [&name](const Drain& drain) { return drain.order->name == name; });
  return it == drains_.end() ? nullptr : &*it;
}

bool Drainer::InForce(const std::string& name) const {
  return policy_ != nullptr && policy_->Find(name) != nullptr && !policy_->Find(name)->paused;
}

void Drainer::Progressed(const std::string& name) {
  if (Drain* drain = Find(name)) drain->moved_at = clock_->Now();
}

void Drainer::Tick() {
  ledger_->Refresh();
  // Without a policy the steps of an earlier one are still followed to their end.
  AdvanceSteps();
  room_wanted_.clear();
  if (policy_ == nullptr) return;
  if (members_.Sync()) {
    for (Drain& drain : drains_) drain.sorted_at = -1;
  }
  StartSteps();
  double ahead = 0;
  for (JobIndex j : room_wanted_) ahead += (*job_store_)[j].spec.cores;
  free_capacity_->SetRoomAhead(ahead);
  for (Drain& drain : drains_) RefreshDrain(&drain);
  if (clock_->Now() < next_write_) return;
  next_write_ = clock_->Now() + kWriteEvery;
  for (Drain& drain : drains_) Write(&drain);
  if (!confirmed_) return;
  // What is left of drains that were withdrawn.
  for (const auto& [name, before] : std::exchange(loaded_, {})) {
    spdlog::info("drain {} is withdrawn", name);
    if (before.first != kNoRecord) record_store_->Remove(before.first);
  }
}

bool Drainer::TypeUnknown(const Drain& drain) const {
  const std::string& type = drain.order->machines.type;
  if (type.empty() || !rentals_->types_known() || drain.progress.machines_done > 0) return false;
  return rentals_->TypeOf(job_store_->types.Find(type)) == nullptr;
}

bool Drainer::PastDeadline(const Drain& drain) const {
  return drain.order->deadline_s &&
         clock_->Wall() >= drain.progress.since_wall + *drain.order->deadline_s;
}

void Drainer::SortMachines(Drain* drain) {
  const auto index =
      static_cast<size_t>(std::find_if(drains_.begin(), drains_.end(),
                                       [drain](const Drain& other) { return &other == drain; }) -
                          drains_.begin());
  drain->sorted_at = clock_->Now();
  drain->queue.clear();
  std::vector<MachineIndex> gone;
  for (uint32_t mi : members_.Of(index)) {
    ++looked_at_;
    if ((*fleet_)[mi].removed) {
      gone.push_back(mi);
    } else {
      drain->queue.push_back(mi);
    }
  }
  for (MachineIndex mi : gone) {
    members_.Remove(index, mi);
    ++drain->progress.machines_done;
    drain->moved_at = clock_->Now();
  }
  std::stable_sort(drain->queue.begin(), drain->queue.end(),
                   [this](MachineIndex a, MachineIndex b) {
                     return (*fleet_)[a].service_cores < (*fleet_)[b].service_cores;
                   });
  drain->cursor = 0;
}

void Drainer::StartSteps() {
  std::vector<Drain*> turn;
  for (Drain& drain : drains_) {
    const bool due = drain.sorted_at < 0 || clock_->Now() - drain.sorted_at > kSortEvery;
    if (due && drain.cursor >= drain.queue.size()) SortMachines(&drain);
    if (drain.cursor >= drain.queue.size()) drain.cursor = 0;
    if (!drain.queue.empty()) turn.push_back(&drain);
  }
  // The one that had its last step longest ago goes first, so that none of those that want the
  // same budget gets all of it.
  std::stable_sort(turn.begin(), turn.end(),
                   [](const Drain* a, const Drain* b) { return a->stepped_at < b->stepped_at; });
  const size_t share = turn.empty() ? 0 : std::max<size_t>(1, kMostLooks / turn.size());
  std::map<Drain*, size_t> looks;
  for (Drain* drain : turn) looks[drain] = std::min(share, drain->queue.size());
  bool any = true;
  while (any) {
    any = false;
    for (Drain* drain : turn) any = StartOne(drain, &looks[drain]) || any;
  }
}

bool Drainer::StartOne(Drain* drain, size_t* looks) {
  while (*looks > 0) {
    if (drain->cursor >= drain->queue.size()) {
      // Once round; the rest of the looks would see the same again.
      *looks = 0;
      return false;
    }
    const MachineIndex mi = drain->queue[drain->cursor];
    ++looked_at_;
    --*looks;
    if (!Examine(drain, mi)) {
      ++drain->cursor;
      continue;
    }
    // Others go first; the same machine is looked at again in the next round.
    drain->stepped_at = drain->moved_at = clock_->Now();
    return true;
  }
  return false;
}

bool Drainer::Examine(Drain* drain, MachineIndex mi) {
  const Machine& m = (*fleet_)[mi];
  if (m.removed) return false;
  if (drain->order->paused) {
    drain->wait = {WaitReason::kPaused, ""};
    return false;
  }
  if (!confirmed_) {
    drain->wait = {WaitReason::kPolicyNotRead, ""};
    return false;
  }
  if (m.attempts.empty()) {
    drain->wait = {WaitReason::kReturning, ""};
    return false;
  }
  drain->wait = {WaitReason::kStopping, m.name};
  // The books of the machine may grow while it is looked at, but nothing is taken out.
  for (size_t i = 0; i < (*fleet_)[mi].attempts.size(); ++i) {
    ++looked_at_;
    TaskAttempt& slot = (*fleet_)[mi].attempts[i];
    if (slot.released || !slot.wanted || slot.job == kNoIndex) continue;
    const bool begun =
        slot.service ? ExamineReplica(drain, mi, slot) : ExamineArrayTask(drain, mi, &slot);
    if (begun) return true;
  }
  return false;
}

Wait Drainer::MayMove(MachineIndex mi, const TaskAttempt& slot) const {
  const Job& job = (*job_store_)[slot.job];
  if (step_book_.steps().size() >= policy_->times.steps_at_once) {
    return {WaitReason::kStepsAtOnce, ""};
  }
  if (job.tasks_unreconciled > 0) return {WaitReason::kTakingOver, job.id};
  if (slot.state != TaskState::kRunning) return {WaitReason::kReplicaStarting, slot.task_name};
  if ((*fleet_)[mi].unreachable_count > 0 || (*fleet_)[mi].probe_failures > 0) {
    return {WaitReason::kMachineSilent, (*fleet_)[mi].name};
  }
  if (!ledger_->Available(slot.job, slot.task_index))
    return {WaitReason::kReplicaStarting, slot.task_name};
  const uint64_t up = ledger_->AvailableOf(slot.job);
  auto pause = pauses_.find(slot.job);
  if (pause != pauses_.end() && (up < job.tasks.size() || clock_->Now() < pause->second.until)) {
    return {WaitReason::kReplacementLate, job.id};
  }
  if (job.tasks.size() > 1 && up < 2) return {WaitReason::kLastReplica, job.id};
  return ledger_->AllowsReplica(slot.job);
}

bool Drainer::ExamineReplica(Drain* drain, MachineIndex mi, const TaskAttempt& slot) {
  if (slot.state != TaskState::kRunning) MoveStuckReplica(mi, slot);
  if (step_book_.Moving(slot.job, slot.task_index)) return false;
  Wait wait = MayMove(mi, slot);
  PlaceFinder::Result place;
  if (!wait) {
    auto since = image_wait_since_.try_emplace(slot.job, clock_->Now()).first;
    const bool fetch = clock_->Now() - since->second >= policy_->times.image_wait_s;
    place = places_.Find(slot.job, mi, fetch);
    wait = place.wait;
  }
  if (wait) {
    drain->wait = wait;
    if (room_wanted_.size() < kRoomAhead) room_wanted_.push_back(slot.job);
    return false;
  }
  if (place.has_image) image_wait_since_.erase(slot.job);
  ledger_->Hold(slot.job, slot.task_index);
  HoldPlace(&step_book_.Begin(drain->order->name, slot.job, slot.task_index, mi, slot.number),
            place.machine);
  drain->wait = {WaitReason::kReplacing, (*job_store_)[slot.job].id};
  return true;
}

// A replica that does not come up on a drained machine is down already: it is tried elsewhere.
void Drainer::MoveStuckReplica(MachineIndex mi, const TaskAttempt& slot) {
  if (slot.running_since >= 0 || !slot.wanted) return;
  if (clock_->Now() - slot.launched_at < policy_->times.replace_within_s) return;
  fleet_->RequestStop(mi, fleet_->FindAttempt(mi, slot.job, slot.task_index, slot.number), 0);
  fleet_->placement_needed = true;
}

bool Drainer::ExamineArrayTask(Drain* drain, MachineIndex mi, TaskAttempt* slot) {
  const Job& job = (*job_store_)[slot->job];
  if (!PastDeadline(*drain)) {
    drain->wait = {WaitReason::kArraysRunning, job.id};
    return false;
  }
  // A gang is stopped whole or not at all.
  const size_t count = job.spec.gang ? job.machines.size() : 1;
  const Wait wait = ledger_->AllowsStops(std::vector<JobIndex>(count, slot->job));
  if (wait) {
    drain->wait = wait;
    return false;
  }
  spdlog::info("drain {}: past its deadline, stopping {} on {}", drain->order->name,
               slot->task_name, (*fleet_)[mi].name);
  drain->progress.tasks_stopped += count;
  if (job.spec.gang) {
    gangs_->StopWhole(slot->job, "a drain is past its deadline");
  } else {
    fleet_->RequestStop(mi, slot, GraceOf(job));
  }
  fleet_->placement_needed = true;
  return true;
}

void Drainer::RefreshDrain(Drain* drain) {
  DrainProgress& p = drain->progress;
  p.replicas_moving = step_book_.CountOf(p.drain);
  const bool was_done = p.state == DrainState::kDone;
  p.machines_left = drain->queue.size();
  const bool empty = drain->sorted_at >= 0 && confirmed_ && drain->queue.empty();
  const bool unknown = drain->queue.empty() && TypeUnknown(*drain);
  p.state = DrainState::kActive;
  if (empty && p.replicas_moving == 0 && !unknown) p.state = DrainState::kDone;
  if (drain->order->paused) p.state = DrainState::kPaused;
  if (p.state == DrainState::kPaused) {
    drain->wait = {WaitReason::kPaused, ""};
  } else if (p.state == DrainState::kDone) {
    drain->wait = {};
  } else if (!confirmed_) {
    drain->wait = {WaitReason::kPolicyNotRead, ""};
  } else if (unknown) {
    drain->wait = {WaitReason::kUnknownType, drain->order->machines.type};
  } else if (drain->queue.empty()) {
    drain->wait = {WaitReason::kReplacing, std::to_string(p.replicas_moving)};
  }
  if (p.state == DrainState::kDone && !was_done) {
    spdlog::info("drain {} is done: {} machines, {} replicas moved", p.drain, p.machines_done,
                 p.replicas_moved);
    next_write_ = 0;
  }
  p.why = Words(drain->wait);
  p.waiting_since_wall = clock_->Wall() - (clock_->Now() - drain->moved_at);
}

void Drainer::Write(Drain* drain) {
  // The time since which it waits alone is no reason to write.
  DrainProgress shown = drain->progress;
  if (shown.why.empty()) shown.waiting_since_wall = 0;
  std::string text = EncodeProgress(shown);
  if (text == drain->written) return;
  drain->written = text;
  if (drain->row == kNoRecord) {
    drain->row = record_store_->Add(std::move(text), kProgressBytes, WritePriority::kDeferred);
  } else {
    record_store_->Update(drain->row, std::move(text), kProgressBytes, WritePriority::kBackground);
  }
}

std::vector<DrainProgress> Drainer::Progress() const {
  std::vector<DrainProgress> out;
  for (const Drain& drain : drains_) out.push_back(drain.progress);
  return out;
}

}  // namespace deckhall
