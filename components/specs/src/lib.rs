//! Small specifications of the protocols, explored exhaustively to a stated bound.
