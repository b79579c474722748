/** What all tests share. */
package sprucerock.testing;
