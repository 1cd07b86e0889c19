// All jobs that were ever accepted, and their durable records.
//
// Guarantees: changes of a task's phase keep the job's counters and list of waiting tasks
// consistent; finished tasks and the end of a job are written to RecordStore in the same call. A
// write is durable only once IsDurable or IsTaskDurable returns true.
//
// Invariants: a job keeps its index for the leader's whole term, and its id for ever. Every job
// with a spec is in exactly one of active_jobs() and ended_jobs(). All calls are made on the event
// loop's thread. Owned by Leader, one for each term.
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
  // `record_store` must outlive this object.
  explicit JobStore(RecordStore* record_store) : record_store_(record_store) {}

  // Adds one stored record. Returns false if it is not a job's record or can't be decoded.
  bool LoadRecord(RecordId record_id, const std::string& text);
  // Called after all records are loaded. Every task that is not done becomes unreconciled, as it
  // may be on any machine. `now` is steady time, `wall` is wall-clock time, both in seconds.
  void FinishLoad(double now, double wall);

  // Returns the index of the job with this id, or kNoIndex.
  JobIndex Find(const std::string& id) const;
  Job& operator[](JobIndex job_index) { return jobs_[job_index]; }
  const Job& operator[](JobIndex job_index) const { return jobs_[job_index]; }
  const std::vector<JobIndex>& active_jobs() const { return active_jobs_; }
  // Jobs that are done or cancelled and still have their spec.
  const std::vector<JobIndex>& ended_jobs() const { return ended_jobs_; }
  // Number of tasks of all active jobs, including finished tasks.
  size_t active_task_count() const { return active_task_count_; }

  // Accepts a new job, submitted at wall-clock time `wall`, in seconds since the epoch.
  JobIndex Create(const JobSpec& spec, double wall);
  // Writes the job's own record.
  void Save(JobIndex job_index, WritePriority priority);
  // Whether the own record of a job with this spec is within the record size limit.
  bool FitsRecord(const JobSpec& spec) const;
  // Whether the job's own record, as last saved, is committed in the state service.
  bool IsDurable(JobIndex job_index) const;
  // Likewise for the record that stores whether the task is done.
  bool IsTaskDurable(JobIndex job_index, uint32_t task_index) const;
  // Seconds since the job's deadline at wall-clock time `wall`; negative before the deadline and
  // if there is none.
  double SecondsPastDeadline(JobIndex job_index, double wall) const;

  // Marks a task as placed, with an attempt on a machine.
  void MarkPlaced(JobIndex job_index, uint32_t task_index, MachineIndex machine,
                  uint64_t attempt_number);
  // Returns a placed task to waiting. Does nothing in any other phase.
  void MarkWaiting(JobIndex job_index, uint32_t task_index);
  // Returns an unreconciled task, found to be on no machine, to waiting. Does nothing in any other
  // phase.
  void ReleaseUnreconciledTask(JobIndex job_index, uint32_t task_index);
  // Marks the task as done and writes its chunk record in the background. If its bit is in the
  // job's own record, the caller must save the job.
  void MarkTaskDone(JobIndex job_index, uint32_t task_index);
  // Marks all tasks as done, as the tasks of a gang complete together.
  void MarkAllTasksDone(JobIndex job_index);
  // Ends the job as done or cancelled. A cancellation is an immediate write, as the user waits for
  // it; completion is a deferred write. Does nothing if the job has ended.
  void EndJob(JobIndex job_index, JobLifecycle lifecycle, double now);
  // Drops the spec and the tasks of an ended job; its id and its end are kept.
  void DropSpec(JobIndex job_index);

  // Indices of the names used by jobs, machines and settings.
  NameIndex teams, images, classes, zones, types;
  // Called when a job was accepted or has ended.
  std::function<void(JobIndex)> on_lifecycle_change = [](JobIndex) {};

 private:
  // A chunk of finished tasks, kept until all jobs are loaded.
  struct LoadedChunk {
    DoneTasksChunk done_tasks;
    RecordId record_id = kNoRecord;  // kNoRecord if it was in the job's own record
  };

  void AddLoadedJob(RecordId record_id, JobRecord record);
  void ApplyLoadedChunk(const LoadedChunk& chunk);
  void AttachChunkRecord(Job& job, const LoadedChunk& chunk);
  void CountLoadedTasks(Job& job);
  void FinishLoadingJob(JobIndex job_index, double now, double wall);
  void EndGangsWithDoneTask(double now);

  void IndexNames(Job& job);
  // Resizes the list of chunk records to the number of the job's tasks.
  void ResizeChunkRecords(Job& job);
  // Changes the task's phase and the counters, without writing.
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
