package sprucerock.agent.artifact;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Set;
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
