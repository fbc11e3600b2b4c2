// What an instance passes on to one that starts while the store is away: the rows that it last read.
// Fields are only ever added, with new numbers.

namespace cpp limpetpond.rpc

struct StateRow {
  1: string key
  2: binary value
}

struct InstanceState {
  1: list<StateRow> settings   // of the operator's table
  2: list<StateRow> targets    // of the targets' table
}
