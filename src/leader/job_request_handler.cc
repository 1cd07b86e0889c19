#include "leader/job_request_handler.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace deckhall {
namespace {

constexpr int kAdmissionRetryAfterSeconds = 10;

constexpr int kHttpOk = 200;
constexpr int kHttpCreated = 201;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpUnprocessable = 422;

JobResponse ErrorResponse(int status, std::string error) {
  JobResponse response;
  response.status = status;
  response.error = std::move(error);
  return response;
}

}  // namespace

void JobRequestHandler::HandleJobRequest(const JobRequest& request, ResponseCallback done) {
  const bool lease_valid = deps_.lease->IsLeaseValid();
  const JobIndex job_index = deps_.job_store->Find(request.job_id);
  // Final states never change, so they may be reported without a valid lease.
  if (job_index != kNoIndex && (*deps_.job_store)[job_index].end_acknowledged) {
    done(JobStatusResponse(job_index, kHttpOk));
    return;
  }
  if (!lease_valid) {
    done(UnavailableResponse("the state service does not answer"));
    return;
  }
  switch (request.operation) {
    case JobOperation::kSubmit:
      Submit(request, std::move(done));
      return;
    case JobOperation::kCancel:
      Cancel(request, std::move(done));
      return;
    case JobOperation::kGet:
      ReportStatus(job_index, done);
      return;
  }
}

void JobRequestHandler::ReportStatus(JobIndex job_index, const ResponseCallback& done) const {
  if (job_index == kNoIndex) {
    done(UnknownJobResponse());
  } else if (!(*deps_.job_store)[job_index].acknowledged) {
    done(UnavailableResponse("being accepted"));
  } else {
    done(JobStatusResponse(job_index, kHttpOk));
  }
}

JobResponse JobRequestHandler::JobStatusResponse(JobIndex job_index, int status) const {
  const Job& job = (*deps_.job_store)[job_index];
  JobResponse response;
  response.status = status;
  response.tasks_done = job.tasks_done;
  response.tasks_running = job.tasks_running;
  response.state = job.tasks_running > 0 ? JobState::kRunning : JobState::kPending;
  if (job.lifecycle == JobLifecycle::kActive) return response;
  // The end of a job is reported only once it is durable.
  if (!job.end_acknowledged) return response;
  response.state = job.lifecycle == JobLifecycle::kDone ? JobState::kDone : JobState::kCancelled;
  response.tasks_running = 0;
  return response;
}

JobResponse JobRequestHandler::UnknownJobResponse() const {
  // The job may be stored on an unreadable page, so 404 could be wrong.
  if (deps_.record_store->unreadable_pages() > 0) {
    return UnavailableResponse("a page of the state service can't be read");
  }
  return ErrorResponse(kHttpNotFound, "no such job");
}

void JobRequestHandler::Submit(const JobRequest& request, ResponseCallback done) {
  JobIndex job_index = deps_.job_store->Find(request.job_id);
  if (job_index != kNoIndex && (*deps_.job_store)[job_index].acknowledged) {
    done(JobStatusResponse(job_index, kHttpOk));
    return;
  }
  // A repeated submission waits for the same commit as the first one.
  if (job_index == kNoIndex) {
    const JobResponse verdict = CheckNewJob(request);
    if (verdict.status != kHttpCreated) {
      done(verdict);
      return;
    }
    job_index = CreateJob(request.job);
  }
  AddPending(job_index, kHttpCreated, std::move(done));
}

JobResponse JobRequestHandler::CheckNewJob(const JobRequest& request) {
  if (!request.validation_error.empty()) {
    return ErrorResponse(kHttpBadRequest, request.validation_error);
  }
  if (!deps_.provisioner->types_known()) {
    return UnavailableResponse("machine types are not known yet");
  }
  const Infeasibility infeasibility = deps_.admission_control->CheckFeasibility(request.job);
  if (infeasibility != Infeasibility::kNone) {
    return ErrorResponse(kHttpUnprocessable, Describe(infeasibility));
  }
  const AdmissionLimit limit =
      deps_.admission_control->CheckLimits(request.job, pending_responses_.size());
  if (limit != AdmissionLimit::kNone) {
    return UnavailableResponse(Describe(limit), kAdmissionRetryAfterSeconds);
  }
  JobResponse admitted;
  admitted.status = kHttpCreated;
  return admitted;
}

JobIndex JobRequestHandler::CreateJob(const JobSpec& spec) {
  const JobIndex job_index = deps_.job_store->Create(spec, deps_.clock->Wall());
  Job& job = (*deps_.job_store)[job_index];
  job.remaining_core_seconds = deps_.ranking->RemainingCoreSeconds(job);
  job.waiting_since = job.starved_since = deps_.clock->Now();
  if (job.spec.service) deps_.free_capacity->RecordServiceArrival(job);
  deps_.ranking->Invalidate();
  return job_index;
}

void JobRequestHandler::Cancel(const JobRequest& request, ResponseCallback done) {
  JobStore& job_store = *deps_.job_store;
  const JobIndex job_index = job_store.Find(request.job_id);
  if (job_index == kNoIndex) {
    done(UnknownJobResponse());
    return;
  }
  if (!job_store[job_index].acknowledged) {
    done(UnavailableResponse("being accepted"));
    return;
  }
  if (job_store[job_index].lifecycle == JobLifecycle::kActive) {
    spdlog::info("job={}: cancelled by its user", request.job_id);
    // Tasks are stopped before the commit, since nobody needs their results any more.
    job_store.EndJob(job_index, JobLifecycle::kCancelled, deps_.clock->Now());
    deps_.fleet->RequestStopOfJob(job_index);
    deps_.ranking->Invalidate();
    deps_.fleet->placement_needed = true;
  } else {
    // The job has ended, but its end may not be durable yet; the response waits for that.
    job_store.Save(job_index, WritePriority::kImmediate);
  }
  AddPending(job_index, kHttpOk, std::move(done));
}

void JobRequestHandler::AddPending(JobIndex job_index, int status, ResponseCallback done) {
  pending_responses_.push_back({job_index, std::move(done), status});
  deps_.record_store->Flush();
}

void JobRequestHandler::HandleCommit() {
  AcknowledgeDurableJobs();
  CompletePending();
}

void JobRequestHandler::AcknowledgeDurableJobs() {
  JobStore& job_store = *deps_.job_store;
  for (JobIndex job_index : job_store.active_jobs()) {
    Job& job = job_store[job_index];
    if (job.acknowledged || !job_store.IsDurable(job_index)) continue;
    job.acknowledged = true;
    deps_.fleet->placement_needed = true;
    spdlog::info("job={} class={} team={} tasks={} cores={} estimate_s={} deadline_s={}: accepted",
                 job.id, job.spec.job_class, job.spec.team, job.spec.task_count, job.spec.cores,
                 job.spec.estimated_runtime_s, job.spec.deadline_s.value_or(0));
  }
  for (JobIndex job_index : job_store.ended_jobs()) {
    // Never reset: a later rewrite of the record does not undo a response already sent.
    if (job_store.IsDurable(job_index)) job_store[job_index].end_acknowledged = true;
  }
}

void JobRequestHandler::CompletePending() {
  JobStore& job_store = *deps_.job_store;
  const bool lease_valid = deps_.lease->IsLeaseValid();
  std::vector<PendingResponse> ready;
  std::vector<PendingResponse> waiting;
  for (PendingResponse& pending : pending_responses_) {
    (job_store.IsDurable(pending.job) ? ready : waiting).push_back(std::move(pending));
  }
  pending_responses_ = std::move(waiting);
  for (const PendingResponse& pending : ready) {
    Job& job = job_store[pending.job];
    job.acknowledged = true;
    const bool is_final = job.lifecycle != JobLifecycle::kActive;
    pending.done(lease_valid || is_final ? JobStatusResponse(pending.job, pending.status)
                                         : UnavailableResponse("the lease ran out"));
  }
}

void JobRequestHandler::FailPending(const char* reason) {
  for (PendingResponse& pending : std::exchange(pending_responses_, {})) {
    pending.done(UnavailableResponse(reason));
  }
}

}  // namespace deckhall
