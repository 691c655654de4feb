// Package docs has no code; its tests keep the pages and the code together.
package docs
