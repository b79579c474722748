package sprucerock.agent.artifact;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.FileTime;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Stores programs and settings in a folder, each under the SHA-256 of its bytes. A file under a
 * digest has that content, completely, or is not there: what arrives in chunks is written to a
 * partial file, verified, forced to the disk and renamed, and the folder is forced too.
 *
 * <p>Thread-safe, but for a {@link Download}, which belongs to one thread. The folder belongs to
 * one store at a time.
 */
public final class ArtifactStore {
  /** Forces the names in a folder to the disk. */
  interface FolderSync {
    void sync(Path folder) throws IOException;
  }

  private static final int BUFFER_BYTES = 1 << 16;
  private static final String SHA_256 = "[0-9a-f]{64}";
  private static final String PARTIAL_SUFFIX = ".part";

  private final Path folder;
  private final long maxBytes;
  private final FolderSync folderSync;

  /** Digests whose content was verified by this process. Guarded by this store's monitor. */
  private final Set<String> verified = new HashSet<>();

  /**
   * Opens the store and deletes partial files of an earlier process.
   *
   * @param maxBytes a larger file is rejected
   * @throws IOException if the folder can't be made or read
   */
  public ArtifactStore(Path folder, long maxBytes) throws IOException {
    this(folder, maxBytes, ArtifactStore::forceFolder);
  }

  ArtifactStore(Path folder, long maxBytes, FolderSync folderSync) throws IOException {
    this.folder = Files.createDirectories(folder);
    this.maxBytes = maxBytes;
    this.folderSync = folderSync;
    try (Stream<Path> found = Files.list(folder)) {
      for (Path one : found.toList()) {
        if (one.toString().endsWith(PARTIAL_SUFFIX)) {
          Files.delete(one); // of an earlier process: downloaded anew
        }
      }
    }
  }

  /**
   * Whether an artifact is here. Its content is verified the first time; what a crash tore or
   * somebody changed is deleted and counts as missing. So does what can't be read: storing it again
   * then shows the disk's error.
   */
  public synchronized boolean has(String digest) {
    Path file = path(digest);
    if (!Files.exists(file)) {
      return false;
    }
    if (verified.contains(digest)) {
      return true;
    }
    try {
      boolean intact = digest(file).equals(digest);
      if (intact) {
        verified.add(digest);
      } else {
        Files.delete(file);
      }
      return intact;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Where an artifact is, or would be.
   *
   * @throws IllegalArgumentException if the digest is no SHA-256 in lower-case hex
   */
  public Path path(String digest) {
    if (!digest.matches(SHA_256)) {
      throw new IllegalArgumentException("no SHA-256: " + digest);
    }
    return folder.resolve(digest);
  }

  /**
   * Copies a file into the store.
   *
   * @return its digest
   * @throws IOException if it can't be read or stored, or is too large
   */
  public String store(Path file) throws IOException {
    long size = Files.size(file);
    if (size > maxBytes) {
      throw new IOException(file + " has " + size + " bytes, " + maxBytes + " are allowed");
    }
    Path part = Files.createTempFile(folder, "put-", PARTIAL_SUFFIX);
    Files.copy(file, part, StandardCopyOption.REPLACE_EXISTING);
    String digest = digest(part);
    publish(part, digest);
    return digest;
  }

  private void publish(Path part, String digest) throws IOException {
    try (FileChannel channel = FileChannel.open(part, StandardOpenOption.WRITE)) {
      channel.force(true);
    }
    rename(part, digest);
  }

  /**
   * Guards against a crash that leaves a digest in the log whose file has lost its name, and
   * against another thread that deletes the file as a damaged one it has just read.
   */
  private synchronized void rename(Path part, String digest) throws IOException {
    Files.move(
        part, path(digest), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    folderSync.sync(folder);
    verified.add(digest);
  }

  private static void forceFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  /** The SHA-256 of a file in lower-case hex. */
  public static String digest(Path file) throws IOException {
    MessageDigest sha = sha256();
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream in = Files.newInputStream(file)) {
      for (int read = in.read(buffer); read > 0; read = in.read(buffer)) {
        sha.update(buffer, 0, read);
      }
    }
    return HexFormat.of().formatHex(sha.digest());
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // each Java has it
    }
  }

  /** An artifact's size in bytes. */
  public long size(String digest) throws IOException {
    return Files.size(path(digest));
  }

  /** Up to {@code maxChunkBytes} bytes of an artifact from an offset on; fewer at its end. */
  public byte[] readChunk(String digest, long offset, int maxChunkBytes) throws IOException {
    try (FileChannel channel = FileChannel.open(path(digest), StandardOpenOption.READ)) {
      ByteBuffer bytes =
          ByteBuffer.allocate((int) Math.max(0, Math.min(maxChunkBytes, channel.size() - offset)));
      while (bytes.hasRemaining() && channel.read(bytes, offset + bytes.position()) >= 0) {}
      return bytes.array();
    }
  }

  /** An artifact that arrives in chunks, in order. */
  public final class Download {
    private final String digest;
    private final Path partialFile;
    private long written;

    private Download(String digest) throws IOException {
      this.digest = digest;
      partialFile = folder.resolve(digest + PARTIAL_SUFFIX);
      Files.deleteIfExists(partialFile);
    }

    /** Where the next chunk has to begin, in bytes. */
    public long offset() {
      return written;
    }

    /**
     * Appends the next chunk.
     *
     * @param size of the whole artifact, in bytes
     * @return true once the artifact is complete, verified and stored
     * @throws IOException if the disk does not take it, the chunk is not the next one, the artifact
     *     is too large, or its content has another digest
     */
    public boolean append(long chunkOffset, byte[] bytes, long size) throws IOException {
      if (size > maxBytes) {
        throw new IOException("it has " + size + " bytes, " + maxBytes + " are allowed");
      }
      if (chunkOffset != written || bytes.length == 0 || written + bytes.length > size) {
        throw new IOException(
            "a piece from " + chunkOffset + " came where one from " + written + " was asked for");
      }
      Files.write(partialFile, bytes, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
      written += bytes.length;
      if (written < size) {
        return false;
      }
      String found = digest(partialFile);
      if (!found.equals(digest)) {
        Files.delete(partialFile);
        throw new IOException(
            "what came has the digest "
                + found.substring(0, 8)
                + ", not "
                + digest.substring(0, 8));
      }
      publish(partialFile, digest);
      return true;
    }
  }

  /**
   * Begins a download, in place of any other of that digest.
   *
   * @throws IOException if an earlier partial file can't be deleted
   */
  public Download startDownload(String digest) throws IOException {
    return new Download(digest);
  }

  /**
   * Deletes all but the newest artifacts.
   *
   * @param needed digests that stay whatever their age
   * @param newest how many of the newest stay
   */
  public void evictOldest(Set<String> needed, int newest) throws IOException {
    List<Path> found = new ArrayList<>();
    try (Stream<Path> all = Files.list(folder)) {
      all.filter(one -> one.getFileName().toString().matches(SHA_256)).forEach(found::add);
    }
    found.sort(Comparator.comparing(ArtifactStore::lastModified).reversed());
    for (int i = newest; i < found.size(); i++) {
      if (!needed.contains(found.get(i).getFileName().toString())) {
        delete(found.get(i));
      }
    }
  }

  private synchronized void delete(Path file) throws IOException {
    verified.remove(file.getFileName().toString());
    Files.delete(file);
  }

  private static FileTime lastModified(Path file) {
    try {
      return Files.getLastModifiedTime(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
