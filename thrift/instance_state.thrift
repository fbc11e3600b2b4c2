// What an instance passes on to one that has fallen behind: the rows of one table that it last read.
// Fields are only ever added, with new numbers.

namespace cpp limpetpond.rpc

struct StateRow {
  1: string key
  2: binary value
}

struct TableState {
  1: i64 version               // the store's version up to which the rows are known
  2: list<StateRow> rows
}
