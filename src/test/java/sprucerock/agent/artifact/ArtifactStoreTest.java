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
 * What is in the folder under a name is that, whole, or is not there: whatever crashes and people
 * do to it.
 */
public class ArtifactStoreTest {
  private static final byte[] PROGRAM = new byte[100_000];
  private Path folder;
  private String digest;

  @BeforeMethod
  public void begin() throws Exception {
    folder = Files.createTempDirectory("vault");
    Arrays.fill(PROGRAM, (byte) 7);
    digest =
        new ArtifactStore(folder, 1 << 20)
            .store(Files.write(Files.createTempFile("program", ".jar"), PROGRAM));
  }

  private ArtifactStore nextLife() throws IOException {
    return new ArtifactStore(folder, 1 << 20);
  }

  @Test
  public void aFileThatWasTornOrChangedIsMissingAndCanBeFetchedAgain() throws Exception {
    assertTrue(nextLife().has(digest));
    for (byte[] wrong :
        new byte[][] {Arrays.copyOf(PROGRAM, 99_999), new byte[0], new byte[100_000]}) {
      Files.write(folder.resolve(digest), wrong);
      ArtifactStore vault = nextLife();
      assertFalse(vault.has(digest));
      ArtifactStore.Download incoming = vault.startDownload(digest);
      assertFalse(incoming.append(0, Arrays.copyOf(PROGRAM, 60_000), PROGRAM.length));
      assertFalse(vault.has(digest), "half of it is not it");
      assertTrue(
          incoming.append(
              60_000, Arrays.copyOfRange(PROGRAM, 60_000, PROGRAM.length), PROGRAM.length));
      assertTrue(vault.has(digest));
    }
  }

  @Test
  public void anEndBetweenTwoPiecesLeavesNothingThatCountsAsThere() throws Exception {
    String other = "0".repeat(64);
    nextLife().startDownload(other).append(0, new byte[10], 20);
    assertEquals(Files.list(folder).count(), 2);
    assertFalse(nextLife().has(other));
    assertEquals(Files.list(folder).count(), 1, "half of a file stays for ever");
  }

  @Test
  public void whatIsNotWhatWasAskedForIsNotKept() throws Exception {
    ArtifactStore vault = nextLife();
    ArtifactStore.Download incoming = vault.startDownload("0".repeat(64));
    assertTrue(
        expectThrows(IOException.class, () -> incoming.append(0, new byte[10], 10))
            .getMessage()
            .contains("has the digest"));
    assertFalse(vault.has("0".repeat(64)));
    vault.evictOldest(Set.of(), 0);
    assertFalse(vault.has(digest));
  }
}
