// Requests of users about their jobs: submissions, cancellations and status.
//
// Guarantee: a response that reports a change (201 for a submission, 200 for a cancellation) is
// sent only after the job's record is durable, and an end that a user was once told of stays told.
// Without a valid lease nothing but final states is reported, since another leader may have
// changed the rest. Every request gets exactly one response, at the latest from FailPending().
// Owned by Leader; the API is PROTOCOL, "Users -> controller nodes".
#pragma once

#include <functional>
#include <vector>

#include "leader/admission_control.h"
#include "leader/leadership_lease.h"
#include "leader/ranking.h"

namespace deckhall {

class JobRequestHandler {
 public:
  using ResponseCallback = std::function<void(JobResponse)>;

  // All outlive the handler.
  struct Dependencies {
    JobStore* job_store;
    Fleet* fleet;
    RecordStore* record_store;
    const Provisioner* provisioner;
    FreeCapacity* free_capacity;
    Ranking* ranking;
    AdmissionControl* admission_control;
    const LeadershipLease* lease;
    const Clock* clock;
  };

  explicit JobRequestHandler(const Dependencies& dependencies) : deps_(dependencies) {}

  // Serves one request; all records must be loaded. `done` is called at once or, for a change,
  // after its commit.
  void HandleJobRequest(const JobRequest& request, ResponseCallback done);
  // A transaction was committed: acknowledges what is durable now and sends the responses that
  // waited for it.
  void HandleCommit();
  // Responds to all pending requests with 503 and this reason.
  void FailPending(const char* reason);

 private:
  // A user who waits for a job's record to become durable.
  struct PendingResponse {
    JobIndex job;
    ResponseCallback done;
    int status;  // HTTP status of the response after the commit
  };

  void Submit(const JobRequest& request, ResponseCallback done);
  void Cancel(const JobRequest& request, ResponseCallback done);
  void ReportStatus(JobIndex job_index, const ResponseCallback& done) const;
  // The response that refuses a new job; status 201 when it is admitted.
  JobResponse CheckNewJob(const JobRequest& request);
  JobIndex CreateJob(const JobSpec& spec);
  void AddPending(JobIndex job_index, int status, ResponseCallback done);
  void AcknowledgeDurableJobs();
  void CompletePending();
  JobResponse JobStatusResponse(JobIndex job_index, int status) const;
  JobResponse UnknownJobResponse() const;

  const Dependencies deps_;
  std::vector<PendingResponse> pending_responses_;
};

}  // namespace deckhall
