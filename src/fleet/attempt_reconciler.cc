#include "fleet/attempt_reconciler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "fleet/fencing.h"
#include "fleet/task_name.h"

namespace deckhall {
namespace {

constexpr size_t kMaxCachedImages = 16;

TaskAttempt* FindReportedAttempt(Machine& machine, const TaskStatus& status) {
  for (TaskAttempt& attempt : machine.attempts) {
    if (attempt.number == status.attempt && attempt.task_name == status.task_name) return &attempt;
  }
  return nullptr;
}

// Whether the image of the task is assumed to be cached. This is wrong for a task that was stopped
// while its image was being fetched (see the ROADMAP).
bool HasFetchedImage(const TaskStatus& status) {
  return status.state != TaskState::kFetching &&
         status.exit_reason != ExitReason::kInsufficientCapacity &&
         status.exit_reason != ExitReason::kAttemptConflict &&
         status.exit_reason != ExitReason::kUnknownTask;
}

// Moves `image` to the end, as the most recently used one, and drops the least recently used one
// when there are too many.
void RecordCachedImage(Machine& machine, uint32_t image) {
  if (image == kNoIndex) return;
  std::vector<uint32_t>& images = machine.cached_images;
  auto entry = std::find(images.begin(), images.end(), image);
  if (entry != images.end()) images.erase(entry);
  images.push_back(image);
  if (images.size() > kMaxCachedImages) images.erase(images.begin());
}

}  // namespace

AttemptReconciler::AttemptReconciler(JobStore* job_store, MachineRegistry* machines,
                                     AttemptTracker* attempts, ExitHandler* exits,
                                     const Clock* clock, uint64_t term)
    : job_store_(job_store),
      machines_(machines),
      attempts_(attempts),
      exits_(exits),
      clock_(clock),
      term_(term) {}

void AttemptReconciler::Reconcile(MachineIndex machine_index, const Heartbeat& heartbeat) {
  Machine& machine = (*machines_)[machine_index];
  // Adopted attempts are appended, so the positions of the attempts tracked so far stay valid.
  const size_t tracked = machine.attempts.size();
  std::vector<char> listed(tracked, 0);
  for (const TaskStatus& status : heartbeat.tasks) {
    TaskAttempt* attempt = FindReportedAttempt(machine, status);
    if (attempt == nullptr) {
      AdoptAttempt(machine_index, status);
      continue;
    }
    const auto position = static_cast<size_t>(attempt - machine.attempts.data());
    if (position < tracked) listed[position] = 1;
    ApplyTaskStatus(machine_index, attempt, status);
  }
  for (size_t i = tracked; i-- > 0;) {
    if (listed[i] == 0) ResolveUnlisted(machine_index, i, heartbeat);
  }
}

void AttemptReconciler::ResolveUnlisted(MachineIndex machine_index, size_t position,
                                        const Heartbeat& heartbeat) {
  TaskAttempt& attempt = (*machines_)[machine_index].attempts[position];
  if (MayLaunchUnder(heartbeat.fencing_token, attempt)) {
    if (attempt.reported) attempts_->HandleLostAttempt(machine_index, &attempt);
    return;
  }
  // Its launch was never sent, or the agent now rejects it.
  attempt.launch_fencing_token = 0;
  const bool is_pending = attempt.wanted && !attempt.reported;
  if (is_pending) {
    machines_->MarkChanged(machine_index);
  } else {
    attempts_->RequeueAndErase(machine_index, position);
  }
}

void AttemptReconciler::AdoptAttempt(MachineIndex machine_index, const TaskStatus& status) {
  TaskAttempt adopted = MakeAdoptedAttempt(machine_index, status);
  if (!adopted.wanted && status.state != TaskState::kExited) {
    spdlog::info(
        "machine={} task={} attempt={}: adopted an attempt that is not needed, stopping it",
        (*machines_)[machine_index].name, status.task_name, status.attempt);
  }
  ApplyTaskStatus(machine_index, &attempts_->Add(machine_index, std::move(adopted)), status);
}

TaskAttempt AttemptReconciler::MakeAdoptedAttempt(MachineIndex machine_index,
                                                  const TaskStatus& status) {
  TaskAttempt attempt;
  attempt.task_name = status.task_name;
  attempt.number = status.attempt;
  attempt.reported = true;
  attempt.launched_at = clock_->Now();
  attempt.wanted = false;
  // Attempts that this leader launched are tracked until they can't start any more, so its own
  // should not turn up here.
  const bool from_earlier_term = TermOf(status.attempt) < term_;
  attempt.launch_fencing_token =
      from_earlier_term ? FirstTokenOf(term_) - 1 : (*machines_)[machine_index].fencing_token;
  const std::optional<TaskName> name = ParseTaskName(status.task_name);
  const JobIndex job_index = name ? job_store_->Find(name->job_id) : kNoIndex;
  if (job_index == kNoIndex) return attempt;
  Job& job = (*job_store_)[job_index];
  if (!job.has_spec || name->task_index >= job.tasks.size()) return attempt;

  attempt.job = job_index;
  attempt.task_index = name->task_index;
  const TaskPhase phase = job.tasks[name->task_index].phase;
  const bool needs_attempt = phase == TaskPhase::kUnreconciled || phase == TaskPhase::kWaiting;
  attempt.wanted = needs_attempt && from_earlier_term && job.lifecycle == JobLifecycle::kActive;
  // An attempt that exited does not become the current attempt of its task. If it was successful,
  // the task is done anyway. Otherwise a later attempt may run on a machine that is not reconciled
  // yet.
  if (needs_attempt && status.state != TaskState::kExited) {
    job_store_->MarkPlaced(job_index, name->task_index, machine_index, status.attempt);
    job.starved_since = clock_->Now();
  }
  return attempt;
}

void AttemptReconciler::ApplyTaskStatus(MachineIndex machine_index, TaskAttempt* attempt,
                                        const TaskStatus& status) {
  Machine& machine = (*machines_)[machine_index];
  attempt->reported = true;
  if (attempt->released) {
    if (status.state == TaskState::kExited) return;
    attempts_->HandleRestartedAttempt(machine_index, attempt);
  }
  if (attempt->state != status.state) {
    spdlog::debug("machine={} task={} state={}: task state changed", machine.name,
                  attempt->task_name, static_cast<int>(status.state));
    machine.capacity_stale = true;
    attempts_->NotifyReplicaChanged(*attempt);
  }
  attempt->state = status.state;
  if (attempt->job != kNoIndex && HasFetchedImage(status))
    RecordCachedImage(machine, (*job_store_)[attempt->job].image);
  if (status.state == TaskState::kRunning) attempts_->SetRunning(attempt, true);
  if (status.state != TaskState::kExited) return;
  attempt->exit_reason = status.exit_reason;
  exits_->HandleExit(machine_index, attempt);
}

}  // namespace deckhall
