package sprucerock.controller;

import java.io.IOException;
import java.util.List;

/**
 * The folder of a store, as far as the store needs one. What {@link #force} has returned for
 * outlives a crash.
 */
interface Storage {
  /** The names of all files, sorted. */
  List<String> list() throws IOException;

  byte[] read(String name) throws IOException;

  /** Opens a file to be added to; made if it is not there. */
  AppendFile openForAppend(String name) throws IOException;

  /** Writes a file whole, and puts it in its place by one renaming that outlives a crash. */
  void replaceAtomically(String name, byte[] bytes) throws IOException;

  void delete(String name) throws IOException;

  /** Cuts a file off. */
  void truncate(String name, long length) throws IOException;

  /** A file that grows. */
  interface AppendFile {
    void append(byte[] bytes) throws IOException;

    /** All that was added outlives a crash from now on. */
    void fsync() throws IOException;

    void close() throws IOException;
  }
}
