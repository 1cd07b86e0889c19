// Admission control: decides which submitted jobs the leader accepts.
//
// A job is infeasible if it could not run even on an otherwise empty fleet; such a refusal is
// final. Admission limits protect the controller's memory and connections; they are temporary, so
// the user is asked to retry. Owned by Leader; changes no job and no machine.
#pragma once

#include <cstddef>

#include "cloud/provisioner.h"
#include "config/settings.h"
#include "net/clock.h"
#include "state/job_store.h"

namespace deckhall {

// The reason that a job can never run.
enum class Infeasibility {
  kNone,
  kUnknownTeam,
  kTeamCoreLimit,  // its concurrent tasks need more cores than the team may use
  kTeamGpuLimit,   // its concurrent tasks need more GPUs than the team may use
  kNoMachineType,  // one of its tasks fits none of the offered machine types that it allows
  kSpecTooLarge,   // its record would exceed the state service's limit for values
};

// The reason that no further job is accepted at the moment.
enum class AdmissionLimit {
  kNone,
  kActiveJobs,
  kActiveTasks,
  kPendingResponses,
};

// The error text sent to the user; empty for kNone. Part of the HTTP API: PROTOCOL,
// "POST /api/jobs".
const char* Describe(Infeasibility infeasibility);
const char* Describe(AdmissionLimit limit);

class AdmissionControl {
 public:
  AdmissionControl(const JobStore* job_store, const Provisioner* provisioner, const Clock* clock,
                   const Settings* settings);

  // Returns why such a job could never run, or kNone. The machine types must be known.
  Infeasibility CheckFeasibility(const JobSpec& spec) const;
  // Returns the limit that one more such job would exceed, or kNone. `pending_responses` is the
  // number of users who wait for a response. Logs refusals at most once a minute.
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
