// All jobs ever accepted, and their durable rows.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/model.h"
#include "state/record_store.h"

namespace deckhall {

class JobStore {
 public:
  explicit JobStore(RecordStore* record_store) : record_store_(record_store) {}

  // Reads one row if it is one of ours.
  bool LoadRecord(RecordId row, const std::string& text);
  // After all rows: tasks that are not done may be anywhere.
  void FinishLoad(double now, double wall);

  JobIndex Find(const std::string& id) const;
  Job& operator[](JobIndex j) { return jobs_[j]; }
  const Job& operator[](JobIndex j) const { return jobs_[j]; }
  const std::vector<JobIndex>& active_jobs() const { return active_jobs_; }
  // Jobs that are over but whose spec is still kept.
  const std::vector<JobIndex>& ended_jobs() const { return ended_jobs_; }
  size_t active_task_count() const { return active_task_count_; }

  JobIndex Create(const JobSpec& spec, double wall);
  void Save(JobIndex j, WritePriority urgency);
  // Whether a row can hold all that is kept of such a job.
  bool FitsRecord(const JobSpec& spec) const;
  // True when what was last saved of the job is in the state service.
  bool IsDurable(JobIndex j) const;
  bool IsTaskDurable(JobIndex j, uint32_t task) const;
  // Seconds past its deadline; negative before it, and without one.
  double SecondsPastDeadline(JobIndex j, double wall) const;

  // Phase changes keep the counts right.
  void MarkPlaced(JobIndex j, uint32_t task, MachineIndex machine, uint64_t attempt);
  void MarkWaiting(JobIndex j, uint32_t task);
  void ReleaseUnreconciledTask(JobIndex j, uint32_t task);  // unseen -> waiting
  void MarkTaskDone(JobIndex j, uint32_t task);
  // All tasks at once: those of a gang complete together.
  void MarkAllTasksDone(JobIndex j);
  // The job is over. A cancellation is waited for by its user; of a job that is done nobody
  // expects to hear at once.
  void EndJob(JobIndex j, JobLifecycle life, double now);
  // Drops the spec of a job that has been over for a while.
  void DropSpec(JobIndex j);

  NameIndex teams, images, classes, zones, types;
  // A job was accepted, or is over.
  std::function<void(JobIndex)> on_lifecycle_change = [](JobIndex) {};

 private:
  // The task's phase and the counts; its row is still to be written.
  void SetTaskDone(Job* job, uint32_t task);
  void EndGangsWithDoneTask(double now);
  void SaveChunk(Job* job, uint32_t part);
  void IndexNames(Job& job);
  std::string EncodeJobRecord(const Job& job) const;
  // What is kept of a job that is over for good.
  std::string EncodeEndRecord(const Job& job) const;
  // The size to which the row may grow.
  size_t RecordReserve(const Job& job, const std::string& text) const;
  std::string EncodeChunkRecord(const Job& job, uint32_t part) const;
  void RemoveFrom(std::vector<JobIndex>* list, JobIndex j);

  RecordStore* record_store_;
  std::vector<Job> jobs_;
  std::unordered_map<std::string, JobIndex> index_;
  std::vector<JobIndex> active_jobs_;
  std::vector<JobIndex> ended_jobs_;
  size_t active_task_count_ = 0;
  struct DoneTasksChunk {
    std::string job_id;
    uint32_t part;
    std::string hex;
    RecordId record_id;
  };
  std::vector<DoneTasksChunk> loaded_chunks_;
};

}  // namespace deckhall
