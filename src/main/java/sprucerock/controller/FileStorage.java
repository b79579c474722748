package sprucerock.controller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** Storage in a folder of the file system. */
final class FileStorage implements Storage {
  private final Path folder;

  FileStorage(Path folder) throws IOException {
    this.folder = Files.createDirectories(folder);
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.map(path -> path.getFileName().toString()).sorted().toList();
    }
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(folder.resolve(name));
  }

  private static void write(FileChannel channel, byte[] bytes) throws IOException {
    ByteBuffer remaining = ByteBuffer.wrap(bytes);
    while (remaining.hasRemaining()) {
      channel.write(remaining);
    }
  }

  private void fsyncFolder() throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      // Syncs the folder's entries, so that a new name or a rename is durable.
      channel.force(true);
    }
  }

  @Override
  public AppendFile openForAppend(String name) throws IOException {
    boolean created = !Files.exists(folder.resolve(name));
    FileChannel channel =
        FileChannel.open(
            folder.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.APPEND);
    if (created) {
      fsyncFolder();
    }
    return new AppendFile() {
      @Override
      public void append(byte[] bytes) throws IOException {
        write(channel, bytes);
      }

      @Override
      public void fsync() throws IOException {
        channel.force(false);
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    };
  }

  @Override
  public void replaceAtomically(String name, byte[] bytes) throws IOException {
    Path next = folder.resolve(name + ".new");
    try (FileChannel channel =
        FileChannel.open(
            next,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      write(channel, bytes);
      channel.force(false);
    }
    Files.move(
        next,
        folder.resolve(name),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
    fsyncFolder();
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(folder.resolve(name));
  }

  @Override
  public void truncate(String name, long length) throws IOException {
    try (FileChannel channel = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE)) {
      channel.truncate(length);
      channel.force(true);
    }
  }
}
