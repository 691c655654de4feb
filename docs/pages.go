// Package docs contains no code; its tests check that the pages match the code.
package docs
