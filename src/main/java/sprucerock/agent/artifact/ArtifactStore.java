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
 * Programs and settings in a folder, each under the SHA-256 of its bytes: what is there under a
 * name is that, whole, or is not there. What comes in pieces is written aside, checked, forced, and
 * takes its place by one renaming.
 */
public final class ArtifactStore {
  private static final String PARTIAL_SUFFIX = ".part";

  private final Path folder;
  private final long maxBytes;

  /** Those whose bytes were looked at in this life. */
  private final Set<String> verified = new HashSet<>();

  /**
   * {@code most}: bytes of one file that are taken.
   *
   * @throws IOException if the folder can't be made
   */
  public ArtifactStore(Path folder, long most) throws IOException {
    this.folder = Files.createDirectories(folder);
    this.maxBytes = most;
    try (Stream<Path> found = Files.list(folder)) {
      for (Path one : found.toList()) {
        if (one.toString().endsWith(PARTIAL_SUFFIX)) {
          Files.delete(one); // of an earlier life: begun anew
        }
      }
    }
  }

  /**
   * Whether it is here, whole. The first time in a life all of it is read: what a crash tore, or
   * somebody changed, is taken away, and counts as missing. So does what can't be read; whoever
   * then brings it in is told why the disk refuses.
   */
  public boolean has(String digest) {
    Path file = path(digest);
    if (!Files.exists(file)) {
      return false;
    }
    if (verified.contains(digest)) {
      return true;
    }
    try {
      boolean right = digest(file).equals(digest);
      if (right) {
        verified.add(digest);
      } else {
        Files.delete(file);
      }
      return right;
    } catch (IOException e) {
      return false;
    }
  }

  /** Where it is, or would be. */
  public Path path(String digest) {
    if (!digest.matches("[0-9a-f]{64}")) {
      throw new IllegalArgumentException("no SHA-256: " + digest);
    }
    return folder.resolve(digest);
  }

  /**
   * Takes a file in; returns its digest. @throws IOException if it can't be read or kept, or is too
   * large
   */
  public String store(Path file) throws IOException {
    long size = Files.size(file);
    if (size > maxBytes) {
      throw new IOException(file + " has " + size + " bytes, " + maxBytes + " are allowed");
    }
    Path part = folder.resolve("put-" + System.nanoTime() + PARTIAL_SUFFIX);
    Files.copy(file, part);
    String digest = digest(part);
    publish(part, digest);
    return digest;
  }

  private void publish(Path part, String digest) throws IOException {
    try (FileChannel channel = FileChannel.open(part, StandardOpenOption.WRITE)) {
      channel.force(true);
    }
    Files.move(
        part, path(digest), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    verified.add(digest);
  }

  public static String digest(Path file) throws IOException {
    MessageDigest sha = sha256();
    byte[] piece = new byte[1 << 16];
    try (InputStream in = Files.newInputStream(file)) {
      for (int read = in.read(piece); read > 0; read = in.read(piece)) {
        sha.update(piece, 0, read);
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

  public long size(String digest) throws IOException {
    return Files.size(path(digest));
  }

  /** So many bytes of it from there on, fewer at its end. */
  public byte[] readChunk(String digest, long from, int many) throws IOException {
    try (FileChannel channel = FileChannel.open(path(digest), StandardOpenOption.READ)) {
      ByteBuffer bytes =
          ByteBuffer.allocate((int) Math.max(0, Math.min(many, channel.size() - from)));
      while (bytes.hasRemaining() && channel.read(bytes, from + bytes.position()) >= 0) {}
      return bytes.array();
    }
  }

  /** Something that comes in pieces. */
  public final class Download {
    private final String digest;
    private final Path partialFile;
    private long written;

    private Download(String digest) throws IOException {
      this.digest = digest;
      partialFile = folder.resolve(digest + PARTIAL_SUFFIX);
      Files.deleteIfExists(partialFile);
    }

    /** From where the next piece is wanted. */
    public long offset() {
      return written;
    }

    /**
     * Takes the next piece; true once all is there and in its place.
     *
     * @throws IOException if the disk does not take it, or what came is not what was asked for
     */
    public boolean append(long from, byte[] bytes, long size) throws IOException {
      if (size > maxBytes) {
        throw new IOException("it has " + size + " bytes, " + maxBytes + " are allowed");
      }
      if (from != written || bytes.length == 0 || written + bytes.length > size) {
        throw new IOException(
            "a piece from " + from + " came where one from " + written + " was asked for");
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

  public Download startDownload(String digest) throws IOException {
    return new Download(digest);
  }

  /** Leaves the newest so many, and those that are needed whatever their age. */
  public void evictOldest(Set<String> needed, int newest) throws IOException {
    List<Path> found = new ArrayList<>();
    try (Stream<Path> all = Files.list(folder)) {
      all.filter(one -> one.getFileName().toString().matches("[0-9a-f]{64}")).forEach(found::add);
    }
    found.sort(Comparator.comparing(ArtifactStore::lastModified).reversed());
    for (int i = newest; i < found.size(); i++) {
      if (!needed.contains(found.get(i).getFileName().toString())) {
        delete(found.get(i));
      }
    }
  }

  private void delete(Path file) throws IOException {
    verified.remove(file.getFileName().toString());
    Files.delete(file);
  }

  private static java.nio.file.attribute.FileTime lastModified(Path file) {
    try {
      return Files.getLastModifiedTime(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
