// Admission control: which submitted jobs the leader takes.
//
// A job is infeasible when it could not run even on an otherwise empty fleet; that verdict is
// final. An admission limit protects the controller's memory and connections; it may pass, and
// the user is told to retry. Owned by Leader; changes no job and no machine.
#pragma once

#include <cstddef>

#include "cloud/provisioner.h"
#include "config/settings.h"
#include "net/clock.h"
#include "state/job_store.h"

namespace deckhall {

// Why a job can never run.
enum class Infeasibility {
  kNone,
  kUnknownTeam,
  kTeamCoreLimit,  // its tasks that run at once need more cores than the team may use
  kTeamGpuLimit,   // the same for gpus
  kNoMachineType,  // no offered machine type that it allows can hold one of its tasks
  kSpecTooLarge,   // its record would exceed the state service's value size
};

// Why no further job is taken at this moment.
enum class AdmissionLimit {
  kNone,
  kActiveJobs,
  kActiveTasks,
  kPendingResponses,
};

// The error text that the user gets; empty for kNone. Part of the HTTP API: PROTOCOL,
// "POST /api/jobs".
const char* Describe(Infeasibility infeasibility);
const char* Describe(AdmissionLimit limit);

class AdmissionControl {
 public:
  AdmissionControl(const JobStore* job_store, const Provisioner* provisioner, const Clock* clock,
                   const Settings* settings);

  // Whether such a job could ever run. The machine types must be known.
  Infeasibility CheckFeasibility(const JobSpec& spec) const;
  // The limit that one more such job would exceed, given how many users wait for a response.
  // Logs, at most once a minute, that submissions are refused.
  AdmissionLimit CheckLimits(const JobSpec& spec, size_t pending_responses);

 private:
  Infeasibility CheckTeamLimits(const JobSpec& spec) const;
  bool FitsMachineType(const JobSpec& spec, const MachineType& type) const;
  AdmissionLimit FindLimitReached(const JobSpec& spec, size_t pending_responses) const;

  const JobStore* job_store_;
  const Provisioner* provisioner_;
  const Clock* clock_;
  const Settings* settings_;
  double limit_logged_at_ = -1e9;  // steady time, in seconds
};

}  // namespace deckhall
