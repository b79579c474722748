package sprucerock.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The registry rejects acts under tokens lower than the highest one of their lease. */
public class FencingTokenRegistryTest {
  @Test
  public void admitsNoTokenLowerThanOneItSaw() {
    FencingTokenRegistry registry = new FencingTokenRegistry();
    assertTrue(registry.admits("seat", 5));
    assertTrue(registry.admits("seat", 5));
    assertTrue(registry.admits("other", 1));
    assertTrue(registry.admits("seat", 9));
    assertFalse(registry.admits("seat", 8));
    assertEquals(registry.highestToken("seat"), 9);
    assertEquals(registry.rejectedCount(), 1);
    for (int i = 0; i < FencingTokenRegistry.MAX_LEASES; i++) {
      registry.admits("name" + i, 1);
    }
    assertEquals(registry.highestToken("seat"), 0);
  }
}
