// Carries out drains step by step: chooses which replica leaves which machine next, as far as
// the budgets allow, follows each step until its replacement is healthy, and lets empty machines
// go back to the cloud by the ordinary path.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "drain/disruption_ledger.h"
#include "drain/drain_members.h"
#include "drain/drain_records.h"
#include "drain/place_finder.h"
#include "drain/step_book.h"
#include "leader/gang_keeper.h"

namespace deckhall {

struct DrainerPorts {
  JobStore* job_store = nullptr;
  Fleet* fleet = nullptr;
  FreeCapacity* free_capacity = nullptr;
  Rentals* rentals = nullptr;
  GangKeeper* gangs = nullptr;
  RecordStore* record_store = nullptr;
  DisruptionLedger* ledger = nullptr;
  const Clock* clock = nullptr;
};

class Drainer {
 public:
  explicit Drainer(const DrainerPorts& ports);

  // Reads one row if it is one of ours; FinishLoad() after all rows, Use() only after that.
  bool LoadRow(RecordId row, const std::string& text);
  void FinishLoad();
  // The policy in force, null without one; `confirmed` as for DisruptionLedger::Use.
  void Use(std::shared_ptr<const DisruptionPolicy> policy, bool confirmed);
  // Called a few times a second.
  void Tick();
  // Puts replacements where room was held for them. Called with a fresh picture of free room,
  // before anything else is placed.
  void PlaceReplacements();

  // A drain wants no such machines: none is rented.
  bool Closes(const std::string& type, const std::string& zone) const {
    return members_.Closes(type, zone);
  }
  // Jobs whose replicas will need room elsewhere next, one entry each.
  const std::vector<JobIndex>& room_wanted() const { return room_wanted_; }
  // Progress of the drains in force, in the order of the policy.
  std::vector<DrainProgress> Progress() const;
  const StepBook& step_book() const { return step_book_; }
  // Machines, replicas and places looked at so far, to bound the work as the fleet grows.
  uint64_t steps() const { return looked_at_ + places_.looked_at(); }

 private:
  // One drain of the policy in force.
  struct Drain {
    const DrainOrder* order = nullptr;
    DrainProgress progress;
    RecordId row = kNoRecord;
    std::string written;  // of its row
    std::vector<MachineIndex>
        queue;  // its machines, those that are emptied with least effort first
    size_t cursor = 0;
    double sorted_at = -1;
    double stepped_at = -1;  // it last began a step: others go first
    double moved_at = 0;     // something last went on
    Wait wait;               // as last found
  };
  // A job whose replacement did not become healthy.
  struct Pause {
    double until = 0;
    double seconds = 0;
  };

  bool InForce(const std::string& drain) const;
  Drain* Find(const std::string& drain);
  void AdvanceSteps();
  // False: the step is over.
  bool Advance(DrainStep* step);
  bool AdvanceAdopted(DrainStep* step);
  bool AdvanceRecording(DrainStep* step);
  bool AdvanceReplacing(DrainStep* step);
  // Tells the replica of a durable step to stop. False: it no longer may.
  bool StopReplica(DrainStep* step);
  // The replacement is late: another machine is tried. False: the step is given up.
  bool TryElsewhere(DrainStep* step);
  void HoldPlace(DrainStep* step, MachineIndex place);
  void ReleasePlace(DrainStep* step);
  double BoundOf(const DrainStep& step) const;

  void StartSteps();
  // Looks at the drain's next machines; true when a step was begun.
  bool StartOne(Drain* drain, size_t* looks);
  // True when something was begun there.
  bool Examine(Drain* drain, MachineIndex m);
  bool ExamineReplica(Drain* drain, MachineIndex m, const TaskAttempt& slot);
  bool ExamineArrayTask(Drain* drain, MachineIndex m, TaskAttempt* slot);
  Wait MayMove(MachineIndex m, const TaskAttempt& slot) const;
  void MoveStuckReplica(MachineIndex m, const TaskAttempt& slot);
  void SortMachines(Drain* drain);
  // Its type is not on offer, nor on any machine.
  bool TypeUnknown(const Drain& drain) const;
  bool PastDeadline(const Drain& drain) const;
  void RefreshDrain(Drain* drain);
  void Write(Drain* drain);
  void Progressed(const std::string& drain);
  TaskAttempt* SlotOf(const DrainStep& step);
  static double GraceOf(const Job& job);

  JobStore* job_store_;
  Fleet* fleet_;
  FreeCapacity* free_capacity_;
  Rentals* rentals_;
  GangKeeper* gangs_;
  RecordStore* record_store_;
  DisruptionLedger* ledger_;
  const Clock* clock_;
  DrainMembers members_;
  StepBook step_book_;
  PlaceFinder places_;
  std::shared_ptr<const DisruptionPolicy> policy_;
  bool confirmed_ = false;
  std::deque<Drain> drains_;
  std::map<std::string, std::pair<RecordId, DrainProgress>> loaded_;  // not in the policy so far
  std::map<JobIndex, Pause> pauses_;
  std::map<JobIndex, double> image_wait_since_;
  std::vector<JobIndex> room_wanted_;
  double next_write_ = 0;
  uint64_t looked_at_ = 0;
};

}  // namespace deckhall
