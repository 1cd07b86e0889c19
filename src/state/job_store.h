// All jobs that were ever accepted, and their durable records.
//
// Guarantees: changes of a task's phase keep the job's counters and list of waiting tasks right;
// finished tasks and the end of a job are written to RecordStore in the same call. What is
// written counts only once IsDurable or IsTaskDurable says so.
//
// Invariants: a job keeps its index for the leader's whole term, and its id for ever. Every job
// with a spec is on exactly one of active_jobs() and ended_jobs(). One thread, that of the event
// loop. Owned by Leader, one for each term.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/job.h"
#include "state/job_record_codec.h"
#include "state/record_store.h"

namespace deckhall {

class JobStore {
 public:
  // `record_store` outlives this object.
  explicit JobStore(RecordStore* record_store) : record_store_(record_store) {}

  // Takes over one stored record. False: it is no record of a job, or can't be read.
  bool LoadRecord(RecordId record_id, const std::string& text);
  // Called after all records: every task that is not done is unreconciled, as it may be on any
  // machine. `now` is steady time, `wall` the time of day, both in seconds.
  void FinishLoad(double now, double wall);

  // The index of the job with this id, or kNoIndex.
  JobIndex Find(const std::string& id) const;
  Job& operator[](JobIndex job_index) { return jobs_[job_index]; }
  const Job& operator[](JobIndex job_index) const { return jobs_[job_index]; }
  const std::vector<JobIndex>& active_jobs() const { return active_jobs_; }
  // Jobs that are done or cancelled and still have their spec.
  const std::vector<JobIndex>& ended_jobs() const { return ended_jobs_; }
  // Tasks of all active jobs, finished ones included.
  size_t active_task_count() const { return active_task_count_; }

  // Accepts a new job, submitted at the time of day `wall`, in seconds since the epoch.
  JobIndex Create(const JobSpec& spec, double wall);
  // Writes the job's own record.
  void Save(JobIndex job_index, WritePriority priority);
  // Whether a record can hold all that is kept of such a job.
  bool FitsRecord(const JobSpec& spec) const;
  // Whether what was last saved of the job is committed in the state service.
  bool IsDurable(JobIndex job_index) const;
  // The same of the record that says whether the task is done.
  bool IsTaskDurable(JobIndex job_index, uint32_t task_index) const;
  // Seconds past the job's deadline at the time of day `wall`; negative before it, and without
  // a deadline.
  double SecondsPastDeadline(JobIndex job_index, double wall) const;

  // The task has an attempt on a machine.
  void MarkPlaced(JobIndex job_index, uint32_t task_index, MachineIndex machine,
                  uint64_t attempt_number);
  // A placed task waits for a machine again. Does nothing in any other phase.
  void MarkWaiting(JobIndex job_index, uint32_t task_index);
  // An unreconciled task is on no machine: it waits. Does nothing in any other phase.
  void ReleaseUnreconciledTask(JobIndex job_index, uint32_t task_index);
  // The task is done. Its record is a background write, except for tasks whose bits are in the
  // job's own record: there the caller saves the job.
  void MarkTaskDone(JobIndex job_index, uint32_t task_index);
  // All tasks are done at once: those of a gang complete together.
  void MarkAllTasksDone(JobIndex job_index);
  // The job is done or cancelled. A cancellation is an immediate write, as its user waits for
  // it; the end of a job that is done is a deferred one. Does nothing if the job has ended.
  void EndJob(JobIndex job_index, JobLifecycle lifecycle, double now);
  // Drops the spec of an ended job; its id and its end are kept.
  void DropSpec(JobIndex job_index);

  // Indices of the names that jobs, machines and settings use.
  NameIndex teams, images, classes, zones, types;
  // Called when a job was accepted or has ended.
  std::function<void(JobIndex)> on_lifecycle_change = [](JobIndex) {};

 private:
  // A chunk of finished tasks, kept until all jobs are loaded.
  struct LoadedChunk {
    DoneTasksChunk done_tasks;
    RecordId record_id = kNoRecord;  // kNoRecord: was in the job's own record
  };

  void AddLoadedJob(RecordId record_id, JobRecord record);
  void ApplyLoadedChunk(const LoadedChunk& chunk);
  void AttachChunkRecord(Job& job, const LoadedChunk& chunk);
  void CountLoadedTasks(Job& job);
  void FinishLoadingJob(JobIndex job_index, double now, double wall);
  void EndGangsWithDoneTask(double now);

  void IndexNames(Job& job);
  // Makes the list of chunk records as long as the number of the job's tasks asks for.
  void ResizeChunkRecords(Job& job);
  // Changes the task's phase and the counters, and writes nothing.
  void SetTaskDone(Job& job, uint32_t task_index);
  // Writes a chunk's record; chunk 0 is in the job's own record, which Save writes.
  void SaveChunk(Job& job, uint32_t chunk);

  RecordStore* record_store_;
  std::vector<Job> jobs_;
  std::unordered_map<std::string, JobIndex> index_;
  std::vector<JobIndex> active_jobs_;
  std::vector<JobIndex> ended_jobs_;
  size_t active_task_count_ = 0;
  std::vector<LoadedChunk> loaded_chunks_;
};

}  // namespace deckhall
