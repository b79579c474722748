package sprucerock.agent.artifact;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * An artifact is there completely under its digest or not at all, after crashes and edits alike.
 */
public class ArtifactStoreTest {
  private static final byte[] PROGRAM = new byte[100_000];
  private Path folder;
  private String digest;

  @BeforeMethod
  public void storeProgram() throws Exception {
    folder = Files.createTempDirectory("store");
    Arrays.fill(PROGRAM, (byte) 7);
    digest =
        new ArtifactStore(folder, 1 << 20)
            .store(Files.write(Files.createTempFile("program", ".jar"), PROGRAM));
  }

  private ArtifactStore reopened() throws IOException {
    return new ArtifactStore(folder, 1 << 20);
  }

  @Test
  public void deletesDamagedArtifactAndTakesItAgain() throws Exception {
    assertTrue(reopened().has(digest));
    for (byte[] damaged :
        new byte[][] {Arrays.copyOf(PROGRAM, 99_999), new byte[0], new byte[100_000]}) {
      Files.write(folder.resolve(digest), damaged);
      ArtifactStore store = reopened();
      assertFalse(store.has(digest));
      ArtifactStore.Download download = store.startDownload(digest);
      assertFalse(download.append(0, Arrays.copyOf(PROGRAM, 60_000), PROGRAM.length));
      assertFalse(store.has(digest), "half of it is not it");
      assertTrue(
          download.append(
              60_000, Arrays.copyOfRange(PROGRAM, 60_000, PROGRAM.length), PROGRAM.length));
      assertTrue(store.has(digest));
    }
  }

  /** Guards against a crash behind the rename, after which the log names a file that is gone. */
  @Test
  public void theFolderIsForcedBehindEachRename() throws Exception {
    List<Boolean> wasThereAtSync = new ArrayList<>();
    String other = ArtifactStore.digest(programOf((byte) 8));
    ArtifactStore store =
        new ArtifactStore(
            folder, 1 << 20, synced -> wasThereAtSync.add(Files.exists(synced.resolve(other))));
    assertEquals(store.store(programOf((byte) 8)), other);
    assertEquals(wasThereAtSync, List.of(true));
    Files.delete(folder.resolve(other));
    byte[] content = Files.readAllBytes(programOf((byte) 8));
    assertTrue(store.startDownload(other).append(0, content, content.length));
    assertEquals(wasThereAtSync, List.of(true, true));
  }

  /** Guards against an artifact that is told as stored though a crash may still take it. */
  @Test
  public void anArtifactWhoseFolderCanNotBeForcedIsNotStored() throws Exception {
    ArtifactStore store =
        new ArtifactStore(
            folder,
            1 << 20,
            synced -> {
              throw new IOException("no disk");
            });
    expectThrows(IOException.class, () -> store.store(programOf((byte) 8)));
  }

  /** Guards against threads that store the same artifact, or look at it, at the same time. */
  @Test
  public void severalThreadsMayStoreAndLook() throws Exception {
    ArtifactStore store = reopened();
    ExecutorService threads = Executors.newFixedThreadPool(8);
    List<Callable<Boolean>> tasks = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      Path file = programOf((byte) (i % 10));
      tasks.add(() -> store.has(store.store(file)));
    }
    for (Future<Boolean> task : threads.invokeAll(tasks)) {
      assertTrue(task.get());
    }
    threads.shutdown();
    assertEquals(Files.list(folder).count(), 11); // with the one that was there
  }

  private static Path programOf(byte filler) throws IOException {
    byte[] content = new byte[10_000];
    Arrays.fill(content, filler);
    Path file = Files.createTempFile("program", ".jar");
    return Files.write(file, content);
  }

  @Test
  public void dropsPartialDownloadOnReopen() throws Exception {
    String other = "0".repeat(64);
    reopened().startDownload(other).append(0, new byte[10], 20);
    assertEquals(Files.list(folder).count(), 2);
    assertFalse(reopened().has(other));
    assertEquals(Files.list(folder).count(), 1, "half of a file stays for ever");
  }

  @Test
  public void rejectsContentOfAnotherDigest() throws Exception {
    ArtifactStore store = reopened();
    ArtifactStore.Download download = store.startDownload("0".repeat(64));
    assertTrue(
        expectThrows(IOException.class, () -> download.append(0, new byte[10], 10))
            .getMessage()
            .contains("has the digest"));
    assertFalse(store.has("0".repeat(64)));
    store.evictOldest(Set.of(), 0);
    assertFalse(store.has(digest));
  }
}
