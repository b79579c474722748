package sprucerock.controller;

import java.io.IOException;
import java.util.List;

/**
 * The files of a write-ahead log. Bytes appended before a completed {@link AppendFile#fsync}
 * survive a crash.
 */
interface Storage {
  /** Returns the names of all files, sorted. */
  List<String> list() throws IOException;

  /** Reads a whole file. */
  byte[] read(String name) throws IOException;

  /** Opens a file at its end, and creates it if it does not exist. */
  AppendFile openForAppend(String name) throws IOException;

  /** Writes a whole file, and puts it in place by one rename that survives a crash. */
  void replaceAtomically(String name, byte[] bytes) throws IOException;

  /** Deletes a file if it exists. */
  void delete(String name) throws IOException;

  /** Truncates a file to a length in bytes. */
  void truncate(String name, long length) throws IOException;

  /** A file that is only appended to. */
  interface AppendFile {
    /** Appends bytes; after a failure some of them may be in the file. */
    void append(byte[] bytes) throws IOException;

    /** Makes all appended bytes survive a crash. */
    void fsync() throws IOException;

    /** Closes the file without a sync. */
    void close() throws IOException;
  }
}
