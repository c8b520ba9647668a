#include "raft/storage_worker.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace parsleyline::raft {
namespace {

/// Work for the log thread: a batch to write, or a saved snapshot whose segments can be released.
struct LogJob {
  Actions batch;
  SnapshotPtr saved;
};

/// Work for the file thread: a snapshot to save, or files to remove.
struct FileJob {
  SnapshotPtr snapshot;
  std::vector<std::string> obsolete;
};

/// Queue of work for one thread, which takes all queued items at once.
template <typename T>
class Inbox {
 public:
  void Add(T item) {
    {
      const std::lock_guard lock(mutex_);
      items_.push_back(std::move(item));
    }
    changed_.notify_one();
  }

  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    changed_.notify_one();
  }

  /// Waits for items and returns all of them. Returns none once the queue is closed and empty.
  std::vector<T> TakeAll() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return closed_ || !items_.empty(); });
    return std::exchange(items_, {});
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<T> items_;
  bool closed_ = false;
};

}  // namespace

struct StorageWorker::Impl {
  void RunLog();
  void RunFiles();
  Result<void> Process(const std::vector<LogJob>& jobs);
  Result<void> Process(FileJob job);
  void Fail(const Error& error);

  std::unique_ptr<LogStorage> storage;
  Callbacks callbacks;
  Inbox<LogJob> log_jobs;
  Inbox<FileJob> file_jobs;
  std::once_flag failed;
  std::thread log_thread;
  std::thread file_thread;
};

void StorageWorker::Impl::Fail(const Error& error) {
  std::call_once(failed, [this, &error] { callbacks.failed(error); });
}

Result<void> StorageWorker::Impl::Process(const std::vector<LogJob>& jobs) {
  for (const LogJob& job : jobs) {
    if (job.saved == nullptr) {
      if (auto written = storage->Write(job.batch); !written) return written;
      continue;
    }
    auto released = storage->ReleaseSegments();
    if (!released) return tl::make_unexpected(released.error());
    file_jobs.Add({.obsolete = std::move(*released)});
  }
  return storage->Sync();
}

void StorageWorker::Impl::RunLog() {
  for (auto jobs = log_jobs.TakeAll(); !jobs.empty(); jobs = log_jobs.TakeAll()) {
    if (auto done = Process(jobs); !done) return Fail(done.error());
    for (LogJob& job : jobs) {
      if (job.saved != nullptr) {
        callbacks.snapshot_saved(std::move(job.saved));
      } else {
        callbacks.synced(std::move(job.batch));
      }
    }
  }
}

Result<void> StorageWorker::Impl::Process(FileJob job) {
  if (job.snapshot == nullptr) return storage->RemoveFiles(job.obsolete);
  if (auto saved = storage->SaveSnapshot(*job.snapshot); !saved) return saved;
  log_jobs.Add({.saved = std::move(job.snapshot)});
  return {};
}

void StorageWorker::Impl::RunFiles() {
  for (auto jobs = file_jobs.TakeAll(); !jobs.empty(); jobs = file_jobs.TakeAll()) {
    for (FileJob& job : jobs) {
      if (auto done = Process(std::move(job)); !done) return Fail(done.error());
    }
  }
}

StorageWorker::StorageWorker(std::unique_ptr<LogStorage> storage, Callbacks callbacks)
    : impl_(std::make_unique<Impl>()) {
  impl_->storage = std::move(storage);
  impl_->callbacks = std::move(callbacks);
  impl_->log_thread = std::thread([impl = impl_.get()] { impl->RunLog(); });
  impl_->file_thread = std::thread([impl = impl_.get()] { impl->RunFiles(); });
}

// Segments that are released after the file thread has ended are removed after the next snapshot
// following a restart.
StorageWorker::~StorageWorker() {
  impl_->file_jobs.Close();
  impl_->file_thread.join();
  impl_->log_jobs.Close();
  impl_->log_thread.join();
}

void StorageWorker::Write(Actions batch) { impl_->log_jobs.Add({.batch = std::move(batch)}); }

void StorageWorker::SaveSnapshot(SnapshotPtr snapshot) {
  impl_->file_jobs.Add({.snapshot = std::move(snapshot)});
}

}  // namespace parsleyline::raft
