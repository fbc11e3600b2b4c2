// What an instance passes on to one that has fallen behind: rows of one table as it last read them.
// Fields are only ever added, with new numbers.

namespace cpp limpetpond.rpc

struct StateRow {
  1: string key
  2: binary value
  3: i64 version               // the store's version of the last change that mattered
  4: bool deleted
  5: bool afterOutage          // the row was found gone right after the store was away: it may come back
}

struct TableState {
  1: i64 version               // the highest version of a row
  2: list<StateRow> rows
  3: bool isWhole              // all rows; otherwise those changed after the version that was asked for
  4: optional i64 epoch        // counts the restores of the store from a copy, after which it gives out versions again; of all versions here
}
