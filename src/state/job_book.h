// All jobs ever accepted, and their durable rows.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/model.h"
#include "state/row_store.h"

namespace deckhall {

class JobBook {
 public:
  explicit JobBook(RowStore* store) : store_(store) {}

  // Reads one row if it is one of ours.
  bool LoadRow(RowId row, const std::string& text);
  // After all rows: tasks that are not done may be anywhere.
  void FinishLoad(double now, double wall);

  JobIdx Find(const std::string& id) const;
  Job& operator[](JobIdx j) { return jobs_[j]; }
  const Job& operator[](JobIdx j) const { return jobs_[j]; }
  const std::vector<JobIdx>& live() const { return live_; }
  // Jobs that are over but whose spec is still kept.
  const std::vector<JobIdx>& ended_jobs() const { return ended_jobs_; }
  size_t live_tasks() const { return live_tasks_; }

  JobIdx Create(const JobSpec& spec, double wall);
  void Save(JobIdx j, WriteUrgency urgency);
  // Whether a row can hold all that is kept of such a job.
  bool FitsRow(const JobSpec& spec) const;
  // True when what was last saved of the job is in the state service.
  bool Durable(JobIdx j) const;
  bool TaskDurable(JobIdx j, uint32_t task) const;
  // Seconds past its deadline; negative before it, and without one.
  double Lateness(JobIdx j, double wall) const;

  // Phase changes keep the counts right.
  void Place(JobIdx j, uint32_t task, MachIdx machine, uint64_t attempt);
  void Unplace(JobIdx j, uint32_t task);
  void SeenFree(JobIdx j, uint32_t task);  // unseen -> waiting
  void Done(JobIdx j, uint32_t task);
  // All tasks at once: those of a gang complete together.
  void AllDone(JobIdx j);
  // The job is over. A cancellation is waited for by its user; of a job that is done nobody
  // expects to hear at once.
  void End(JobIdx j, JobLife life, double now);
  // Drops the spec of a job that has been over for a while.
  void DropSpec(JobIdx j);

  Names teams, images, classes, zones, types;
  // A job was accepted, or is over.
  std::function<void(JobIdx)> on_life = [](JobIdx) {};

 private:
  // The task's phase and the counts; its row is still to be written.
  void MarkDone(Job* job, uint32_t task);
  void EndGangsWithADoneTask(double now);
  void SaveChunk(Job* job, uint32_t part);
  void Attach(Job& job);
  std::string MainText(const Job& job) const;
  // What is kept of a job that is over for good.
  std::string EndText(const Job& job) const;
  // The size to which the row may grow.
  size_t ReserveOf(const Job& job, const std::string& text) const;
  std::string ChunkText(const Job& job, uint32_t part) const;
  void RemoveFrom(std::vector<JobIdx>* list, JobIdx j);

  RowStore* store_;
  std::vector<Job> jobs_;
  std::unordered_map<std::string, JobIdx> index_;
  std::vector<JobIdx> live_;
  std::vector<JobIdx> ended_jobs_;
  size_t live_tasks_ = 0;
  struct Bits {
    std::string id;
    uint32_t part;
    std::string hex;
    RowId row;
  };
  std::vector<Bits> loaded_bits_;
};

}  // namespace deckhall
