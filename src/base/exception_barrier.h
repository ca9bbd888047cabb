// Stops exceptions where the event loop, a connection, a timer or a stored row enters the code of a process:
// what is thrown behind such a boundary is counted and logged, and the process goes on. The code that owns
// the boundary decides what becomes of the caller: a request is answered, a connection ends, a row is left
// out.
//
// The counts are those of the process. Calls must come from one thread.
#pragma once
#include <cstdint>
#include <exception>
#include <map>
#include <string>

namespace pebblespindle {

enum class Boundary {
  kHttpRequest,    // the handler of a request to this process
  kConnection,     // the handlers of a connection: an item, an end, all written
  kAcceptor,       // the handler of a new connection
  kTimer,          // a timer, or one part of a periodic task
  kSignal,         // the handler of a signal
  kSubmission,     // the callback of a submitted command or of a read
  kDatabaseReply,  // the callback of a query to a database
  kReplication,    // what the replica calls in its environment
  kStoredRow,      // a row of the control state that cannot be decoded
  kEventLoop       // whatever else the event loop calls
};

const char* name_of(Boundary boundary);

// Counts an exception and logs it with its message; of many, ever fewer are logged.
void record_stopped_exception(Boundary boundary, const char* what) noexcept;

// Calls `callback`. Returns false if it has thrown; the exception is recorded and goes no further.
template <class Callback>
bool run_guarded(Boundary boundary, Callback&& callback) noexcept {
  try {
    callback();
    return true;
  } catch (const std::exception& error) {
    record_stopped_exception(boundary, error.what());
  } catch (...) {
    record_stopped_exception(boundary, "not a std::exception");
  }
  return false;
}

// The number of exceptions stopped since the process began, by boundary; those without any are left out.
const std::map<Boundary, std::uint64_t>& stopped_exceptions();
std::uint64_t stopped_exception_count();  // at all boundaries together
void reset_stopped_exceptions();          // for tests that cause them on purpose

}  // namespace pebblespindle
