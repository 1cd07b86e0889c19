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
  bool LoadRecord(RecordId record_id, const std::string& text);
  // After all rows: tasks that are not done may be anywhere.
  void FinishLoad(double now, double wall);

  JobIndex Find(const std::string& id) const;
  Job& operator[](JobIndex job_index) { return jobs_[job_index]; }
  const Job& operator[](JobIndex job_index) const { return jobs_[job_index]; }
  const std::vector<JobIndex>& active_jobs() const { return active_jobs_; }
  // Jobs that are over but whose spec is still kept.
  const std::vector<JobIndex>& ended_jobs() const { return ended_jobs_; }
  size_t active_task_count() const { return active_task_count_; }

  JobIndex Create(const JobSpec& spec, double wall);
  void Save(JobIndex job_index, WritePriority priority);
  // Whether a row can hold all that is kept of such a job.
  bool FitsRecord(const JobSpec& spec) const;
  // True when what was last saved of the job is in the state service.
  bool IsDurable(JobIndex job_index) const;
  bool IsTaskDurable(JobIndex job_index, uint32_t task_index) const;
  // Seconds past its deadline; negative before it, and without one.
  double SecondsPastDeadline(JobIndex job_index, double wall) const;

  // Phase changes keep the counts right.
  void MarkPlaced(JobIndex job_index, uint32_t task_index, MachineIndex machine,
                  uint64_t attempt_number);
  void MarkWaiting(JobIndex job_index, uint32_t task_index);
  void ReleaseUnreconciledTask(JobIndex job_index, uint32_t task_index);  // unseen -> waiting
  void MarkTaskDone(JobIndex job_index, uint32_t task_index);
  // All tasks at once: those of a gang complete together.
  void MarkAllTasksDone(JobIndex job_index);
  // The job is over. A cancellation is waited for by its user; of a job that is done nobody
  // expects to hear at once.
  void EndJob(JobIndex job_index, JobLifecycle life, double now);
  // Drops the spec of a job that has been over for a while.
  void DropSpec(JobIndex job_index);

  NameIndex teams, images, classes, zones, types;
  // A job was accepted, or is over.
  std::function<void(JobIndex)> on_lifecycle_change = [](JobIndex) {};

 private:
  // The task's phase and the counts; its row is still to be written.
  void SetTaskDone(Job* job, uint32_t task_index);
  void EndGangsWithDoneTask(double now);
  void SaveChunk(Job* job, uint32_t part);
  void IndexNames(Job& job);
  std::string EncodeJobRecord(const Job& job) const;
  // What is kept of a job that is over for good.
  std::string EncodeEndRecord(const Job& job) const;
  // The size to which the row may grow.
  size_t RecordReserve(const Job& job, const std::string& text) const;
  std::string EncodeChunkRecord(const Job& job, uint32_t part) const;
  void RemoveFrom(std::vector<JobIndex>* list, JobIndex job_index);

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
