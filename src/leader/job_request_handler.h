// Handles users' requests about their jobs: submission, cancellation and status.
//
// Guarantee: a response that reports a change (201 for a submission, 200 for a cancellation) is
// sent only after the job's record is durable, and a final state that was reported once is reported
// from then on. Without a valid lease only final states are reported, since another leader may have
// changed any other state. Every request gets exactly one response, at the latest from
// FailPending().
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

  // Handles one request; all records must be loaded. `done` is called before this returns or, for
  // a change, after its commit.
  void HandleJobRequest(const JobRequest& request, ResponseCallback done);
  // Called after each commit: acknowledges jobs that became durable and sends the responses that
  // waited for them.
  void HandleCommit();
  // Answers all pending requests with 503 and this reason.
  void FailPending(const char* reason);

 private:
  // A response that is sent once the job's record is durable.
  struct PendingResponse {
    JobIndex job;
    ResponseCallback done;
    int status;  // HTTP status of the response after the commit
  };

  void Submit(const JobRequest& request, ResponseCallback done);
  void Cancel(const JobRequest& request, ResponseCallback done);
  void ReportStatus(JobIndex job_index, const ResponseCallback& done) const;
  // Returns the response that refuses a new job, or status 201 if the job is admitted.
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
