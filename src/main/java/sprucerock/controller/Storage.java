package sprucerock.controller;

import java.io.IOException;
import java.util.List;

/**
 * The files of a write-ahead log. What {@link AppendFile#fsync} has returned for outlives a crash.
 */
interface Storage {
  /** The names of all files, sorted. */
  List<String> list() throws IOException;

  /** The whole of a file. */
  byte[] read(String name) throws IOException;

  /** Opens a file at its end; it is made if it is not there. */
  AppendFile openForAppend(String name) throws IOException;

  /** Writes a whole file, and puts it in its place by one rename that outlives a crash. */
  void replaceAtomically(String name, byte[] bytes) throws IOException;

  /** Deletes a file, if it is there. */
  void delete(String name) throws IOException;

  /** Cuts a file off at a length in bytes. */
  void truncate(String name, long length) throws IOException;

  /** A file that only grows. */
  interface AppendFile {
    /** Adds bytes at the end; a failure may leave some of them there. */
    void append(byte[] bytes) throws IOException;

    /** All that was appended outlives a crash from now on. */
    void fsync() throws IOException;

    /** Closes the file, without a sync. */
    void close() throws IOException;
  }
}
